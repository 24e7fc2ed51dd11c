package org.masticpaddle.gateway;

import java.util.Locale;

import org.masticpaddle.settings.ProcessSettings;
import org.masticpaddle.settings.Setting;

/** How a gateway admits requests to upstreams. Immutable and thread-safe. */
enum AdmissionMode {
    /** Each request is sent as soon as an upstream is open. */
    IMMEDIATE(false),
    /** Requests are sent, wait or are rejected by their expected time and the shares of organisations. */
    FAIR(true);

    private final boolean decides;

    AdmissionMode(boolean decides) {
        this.decides = decides;
    }

    /**
     * Reads the mode from the settings.
     *
     * @param settings validated settings of the gateway role
     * @return mode that the settings name
     */
    static AdmissionMode of(ProcessSettings settings) {
        return valueOf(settings.text(Setting.ADMISSION).toUpperCase(Locale.ROOT));
    }

    /**
     * Returns whether requests may wait or be rejected for lack of room.
     *
     * @return {@code false} if each request is sent at once
     */
    boolean decides() {
        return decides;
    }
}
