package org.masticpaddle.routes;

/**
 * Size limits of callers' requests. Immutable.
 *
 * @param maxHeaderBytes largest total size of the request headers in bytes
 * @param maxBodyBytes largest size of the request body in bytes
 */
public record RequestLimits(long maxHeaderBytes, long maxBodyBytes) {
    /** Limits of a routing table that defines none: headers of 16 KiB and a body of 4 MiB. */
    public static final RequestLimits DEFAULT = new RequestLimits(16 * 1024, 4 * 1024 * 1024);
}
