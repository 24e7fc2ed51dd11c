/** The command-line tool: its commands and how they are found and run. */
package org.masticpaddle.command;
