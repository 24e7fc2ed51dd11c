/** Main classes of the command-line tool and the daemon, and the commands of the tool. */
package org.masticpaddle.command;
