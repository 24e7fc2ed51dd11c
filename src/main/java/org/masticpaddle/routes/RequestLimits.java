package org.masticpaddle.routes;

/**
 * What a caller may send. Immutable.
 *
 * @param maxHeaderBytes largest size of all request headers
 * @param maxBodyBytes largest request body
 */
public record RequestLimits(long maxHeaderBytes, long maxBodyBytes) {
    /** Limits of a table that names none. */
    public static final RequestLimits DEFAULT = new RequestLimits(16 * 1024, 4 * 1024 * 1024);
}
