/** Duplicate suppression of non-idempotent requests: claims on the log, and the attempts that a sidecar remembers. */
package org.masticpaddle.claim;
