/** Settings of a process, read from an INI file and checked at start with all mistakes reported at once. */
package org.masticpaddle.settings;
