package org.masticpaddle.standin;

/** Faults that can be injected into a stand-in. A stand-in ignores faults that do not apply to it. */
public enum Fault {
    /** Every request is rejected with status 503 and has no effect. */
    OUTAGE,
    /** The connection is closed before the request takes effect. */
    DISCONNECT,
    /**
     * Responses are delayed by the value in milliseconds. The effect of a request is not delayed, nor are an engine's chat
     * completions.
     */
    SLOW,
    /** The request takes effect, then the connection is closed without a response. */
    ANSWER_LOST,
    /** Log: an append is applied twice and acknowledged once. */
    APPLIED_TWICE,
    /** Engine and plain service: requests are rejected with status 503 before they run. */
    REFUSE,
    /** Engine and plain service: requests are accepted, but never run and never get an answer. */
    HANG,
    /**
     * Engine, by version: requests fail with status 500. The value is the percentage that fails, 0 for all; a hash of
     * the request identifier selects them.
     */
    VERSION_ERRORS,
    /** Engine, by version: the value is a factor on the time between tokens. */
    VERSION_SLOW,
    /** Engine, by version: the value replaces the true quality of the answers, in percent. */
    VERSION_LOW_QUALITY,
    /** Engine, by version: the answer has the identifier and the text of another request. */
    ANSWER_OF_ANOTHER,
    /** Engine, by version: the connection is closed in the middle of the answer. */
    ANSWER_CUT,
    /** Engine, by version: the first token is delayed by the value in milliseconds, which the time scale ignores. */
    ANSWER_LATE,
    /** Engine, by version: every chunk of a streamed answer is sent twice. */
    ANSWER_DUPLICATED
}
