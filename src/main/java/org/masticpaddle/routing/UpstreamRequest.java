package org.masticpaddle.routing;

import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.document.VersionName;

/**
 * Properties of a request that the {@link UpstreamSelector} takes into account. The array is not copied and must not be
 * modified.
 *
 * @param version version to run
 * @param prefixes hashes of the prompt's prefix blocks, each over the whole prompt up to the end of its block
 * @param prefillMillis time in milliseconds to prefill the whole prompt without a cached prefix
 * @param previousUpstream upstream of the previous attempt, which a retry avoids together with its failure domain;
 *     empty for the first attempt
 */
public record UpstreamRequest(
        VersionName version, long[] prefixes, double prefillMillis, Optional<UpstreamView> previousUpstream) {
    /** Checks the arguments. */
    public UpstreamRequest {
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(prefixes, "prefixes is null");
        Objects.requireNonNull(previousUpstream, "previousUpstream is null");
    }
}
