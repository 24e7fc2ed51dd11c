package org.masticpaddle.wire;

import com.fasterxml.jackson.annotation.JsonValue;

/** Whether a request ran on an upstream. */
public enum RunState {
    /** It did not run and never will. */
    NOT_RUN("not_run"),
    /** It ran. */
    RAN("ran"),
    /** It may have run, may be running or may still run. */
    UNKNOWN("unknown");

    private final String label;

    RunState(String label) {
        this.label = label;
    }

    /**
     * Returns the name used in messages.
     *
     * @return name of the constant in lower case
     */
    @JsonValue
    public String label() {
        return label;
    }
}
