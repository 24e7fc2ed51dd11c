package org.masticpaddle.entry;

import org.masticpaddle.routing.VersionPlan;

/** Turns the refusals of the decisions into those that callers see. Thread-safe, having no state. */
final class RefusalReasons {
    private RefusalReasons() {}

    static Refusal of(org.masticpaddle.admission.Rejection refusal) {
        final Refusal.Kind kind =
                refusal.reason().status() == 504 ? Refusal.Kind.DEADLINE_EXCEEDED : Refusal.Kind.OVERLOADED;
        return Refusal.notRun(
                kind, "the request was not admitted: " + refusal.reason().label(), refusal.retryAfterSeconds() * 1000);
    }

    static Refusal of(VersionPlan.Reason reason) {
        return switch (reason) {
            case NOTHING_ALLOWED ->
                Refusal.notRun(Refusal.Kind.NOT_ALLOWED, "the organisation may not use this model or version");
            case NOTHING_ACTIVE, NOTHING_HEALTHY ->
                Refusal.notRun(Refusal.Kind.NO_UPSTREAM, "no version that may answer takes new work");
            case NOTHING_IN_TIME ->
                Refusal.notRun(Refusal.Kind.DEADLINE_EXCEEDED, "no version is expected to answer in time");
            case SESSION_ENDED ->
                Refusal.notRun(Refusal.Kind.SESSION_ENDED, "the version of this session is withdrawn");
            case SESSION_HAS_OTHER_VERSION ->
                Refusal.notRun(Refusal.Kind.INVALID_REQUEST, "the session is bound to another version");
        };
    }
}
