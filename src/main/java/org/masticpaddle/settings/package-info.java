/** Settings of a process, read from an INI file and validated at startup, with all errors reported at once. */
package org.masticpaddle.settings;
