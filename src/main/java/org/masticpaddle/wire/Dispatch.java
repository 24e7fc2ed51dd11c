package org.masticpaddle.wire;

import java.util.Map;

/**
 * Order from an entry to a sidecar to run one attempt of a request. Immutable, but for the body's bytes.
 *
 * @param requestId identifier of the request, chosen by the entry
 * @param attemptId identifier of this attempt; a sidecar runs it at most once
 * @param incarnation incarnation of the sidecar that alone may run the attempt, 0 if any may
 * @param organisation organisation that pays
 * @param rank rank of the request
 * @param model model, empty for a plain service
 * @param version version of the model, empty for a plain service
 * @param method HTTP method for the upstream
 * @param path path and query for the upstream
 * @param headers headers for the upstream
 * @param body body for the upstream
 * @param idempotent whether the request may run more than once
 * @param timeoutMillis milliseconds left until the caller's deadline
 * @param resumeOffset bytes of the answer that the entry already has
 * @param identity identity under which the request is billed
 */
public record Dispatch(
        String requestId,
        String attemptId,
        long incarnation,
        String organisation,
        Rank rank,
        String model,
        String version,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        boolean idempotent,
        long timeoutMillis,
        long resumeOffset,
        String identity) {}
