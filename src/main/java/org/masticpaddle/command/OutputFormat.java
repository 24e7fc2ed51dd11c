package org.masticpaddle.command;

/** Form in which a command prints its result. */
public enum OutputFormat {
    /** For people. */
    TEXT,
    /** One JSON document for scripts. */
    JSON
}
