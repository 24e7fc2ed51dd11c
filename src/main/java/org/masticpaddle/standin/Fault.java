package org.masticpaddle.standin;

/** Faults that a stand-in can be told to have. Those that a stand-in does not know have no effect on it. */
public enum Fault {
    /** Every request is answered with status 503 and has no effect. */
    OUTAGE,
    /** The connection is closed before the request has an effect. */
    DISCONNECT,
    /** Answers come late; the value is in milliseconds. The effect is not delayed. */
    SLOW,
    /** The request takes effect, then the connection is closed without an answer. */
    ANSWER_LOST,
    /** Log: an append is applied twice and answered once. */
    APPLIED_TWICE,
    /** Engine and plain service: work is refused with status 503 before it begins. */
    REFUSE,
    /** Engine and plain service: work is accepted, and neither runs nor is answered. */
    HANG,
    /** Engine, by version: answers are errors; the value is the percentage, 100 if it is 0. */
    VERSION_ERRORS,
    /** Engine, by version: tokens take longer; the value is the factor. */
    VERSION_SLOW,
    /** Engine, by version: the quality of answers drops; the value is the new quality in percent. */
    VERSION_LOW_QUALITY,
    /** Engine, by version: the answer carries identifier and text of another request. */
    ANSWER_OF_ANOTHER,
    /** Engine, by version: the connection is closed in the middle of the answer. */
    ANSWER_CUT,
    /** Engine, by version: the first token is late; the value is in milliseconds and is not scaled. */
    ANSWER_LATE,
    /** Engine, by version: every chunk of a streamed answer is sent twice. */
    ANSWER_DUPLICATED
}
