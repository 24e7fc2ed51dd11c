package org.masticpaddle.entry;

import org.masticpaddle.wire.RunState;

/**
 * JSON body of an error.
 *
 * @param error the error
 */
record CallerErrorBody(Detail error) {
    static CallerErrorBody of(CallerError refusal) {
        return new CallerErrorBody(new Detail(refusal.kind().label(), refusal.message(), refusal.run()));
    }

    /**
     * The error itself.
     *
     * @param type machine-readable kind
     * @param message explanation for a person
     * @param run whether the request ran
     */
    record Detail(String type, String message, RunState run) {}
}
