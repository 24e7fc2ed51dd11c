package org.masticpaddle.routing;

import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.document.VersionName;

/**
 * What the choice of an upstream needs to know of a request. Immutable; the array is not copied.
 *
 * @param version version to run
 * @param prefixes hashes of the prompt's prefix blocks, each of the whole prompt up to the end of its block
 * @param prefillMillis time to prefill the whole prompt without a cached prefix, in milliseconds
 * @param previousUpstream upstream of the first try, which a second try avoids together with its failure domain
 */
public record UpstreamRequest(
        VersionName version, long[] prefixes, double prefillMillis, Optional<UpstreamView> previousUpstream) {
    /** Checks the arguments. */
    public UpstreamRequest {
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(prefixes, "prefixes is null");
        Objects.requireNonNull(previousUpstream, "firstTry is null");
    }
}
