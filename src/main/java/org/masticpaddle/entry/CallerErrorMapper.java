package org.masticpaddle.entry;

import org.masticpaddle.routing.VersionPlan;

/** Turns the refusals of the decisions into those that callers see. Thread-safe, having no state. */
final class CallerErrorMapper {
    private CallerErrorMapper() {}

    static CallerError of(org.masticpaddle.admission.Rejection refusal) {
        final CallerError.Kind kind =
                refusal.reason().status() == 504 ? CallerError.Kind.DEADLINE_EXCEEDED : CallerError.Kind.OVERLOADED;
        return CallerError.notRun(
                kind, "the request was not admitted: " + refusal.reason().label(), refusal.retryAfterSeconds() * 1000);
    }

    static CallerError of(VersionPlan.Reason reason) {
        return switch (reason) {
            case NOTHING_ALLOWED ->
                CallerError.notRun(CallerError.Kind.NOT_ALLOWED, "the organisation may not use this model or version");
            case NOTHING_ACTIVE, NOTHING_HEALTHY ->
                CallerError.notRun(CallerError.Kind.NO_UPSTREAM, "no version that may answer takes new work");
            case NOTHING_IN_TIME ->
                CallerError.notRun(CallerError.Kind.DEADLINE_EXCEEDED, "no version is expected to answer in time");
            case SESSION_ENDED ->
                CallerError.notRun(CallerError.Kind.SESSION_ENDED, "the version of this session is withdrawn");
            case SESSION_HAS_OTHER_VERSION ->
                CallerError.notRun(CallerError.Kind.INVALID_REQUEST, "the session is bound to another version");
        };
    }
}
