package org.masticpaddle.entry;

import org.masticpaddle.wire.RunState;

/**
 * JSON body of the response to a request that ended with an error.
 *
 * @param error type, message and run state of the error
 */
record CallerErrorBody(Detail error) {
    static CallerErrorBody of(CallerError error) {
        return new CallerErrorBody(new Detail(error.kind().label(), error.message(), error.run()));
    }

    /**
     * Content of the field {@code error}.
     *
     * @param type lower-case name of the kind
     * @param message human-readable explanation
     * @param run whether the request has run
     */
    record Detail(String type, String message, RunState run) {}
}
