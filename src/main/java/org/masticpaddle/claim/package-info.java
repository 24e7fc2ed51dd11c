/**
 * Duplicate suppression of non-idempotent requests. An entry claims the idempotency key of a request on the log before
 * it dispatches the request, and a sidecar runs each attempt at most once.
 */
package org.masticpaddle.claim;
