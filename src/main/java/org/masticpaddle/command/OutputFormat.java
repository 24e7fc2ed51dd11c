package org.masticpaddle.command;

/** Output format of a command, the values of the option {@code --output}. */
public enum OutputFormat {
    /** Human-readable text. */
    TEXT,
    /** One JSON document, for scripts. */
    JSON
}
