package org.masticpaddle.fleet;

/**
 * Load that an upstream reports with an answer. Immutable.
 *
 * @param running requests it processes
 * @param waiting requests that wait at it
 * @param slots requests that it processes at the same time
 */
public record ReportedLoad(int running, int waiting, int slots) {}
