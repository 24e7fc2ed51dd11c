package org.masticpaddle.fleet;

/**
 * Load that an upstream reports in the headers of its responses. Immutable.
 *
 * @param running requests that the upstream processes
 * @param waiting requests in its queue
 * @param slots requests that it can process concurrently; 0 if unknown
 */
public record ReportedLoad(int running, int waiting, int slots) {}
