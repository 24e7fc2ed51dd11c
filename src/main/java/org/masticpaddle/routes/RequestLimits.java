package org.masticpaddle.routes;

/**
 * What a caller may send. Immutable.
 *
 * @param headerBytes largest size of all request headers
 * @param bodyBytes largest request body
 */
public record RequestLimits(long headerBytes, long bodyBytes) {
    /** Limits of a table that names none. */
    public static final RequestLimits DEFAULT = new RequestLimits(16 * 1024, 4 * 1024 * 1024);
}
