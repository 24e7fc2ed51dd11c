package org.masticpaddle.wire;

import com.fasterxml.jackson.annotation.JsonValue;

/** Whether a request ran on an upstream, as far as is known. */
public enum RunState {
    /** It provably did not run, and will not. */
    NOT_RUN("not_run"),
    /** It ran. */
    RAN("ran"),
    /** It may have run, or may still run. */
    UNKNOWN("unknown");

    private final String label;

    RunState(String label) {
        this.label = label;
    }

    /**
     * Returns the name used in messages.
     *
     * @return lower-case name
     */
    @JsonValue
    public String label() {
        return label;
    }
}
