package org.masticpaddle.document;

import java.util.List;
import java.util.Objects;

/**
 * Declaration of an organisation. Immutable and thread-safe.
 *
 * @param name name of the organisation
 * @param team team that publishes the section
 * @param credential {@code sha256:} and the hexadecimal hash of the organisation's bearer key
 * @param weight weight in the fair queueing within each rank, above 0
 * @param quality minimum quality of the answers to its requests, between 0 and 1
 * @param allowed patterns of the versions it may use, each {@code model/version} or {@code model/*}
 * @param services names of the plain services it may use
 * @param explorationShare maximum share of its requests that may be sent to other allowed versions to measure their
 *     quality
 * @param limits limits across all entries
 */
public record Organisation(
        String name,
        String team,
        String credential,
        double weight,
        double quality,
        List<String> allowed,
        List<String> services,
        double explorationShare,
        Limits limits) {
    /** Checks the arguments and copies the lists. */
    public Organisation {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(limits, "limits is null");
        allowed = List.copyOf(allowed);
        services = List.copyOf(services);
    }

    /**
     * Returns whether the organisation may use a version.
     *
     * @param version model and version to match against the patterns in {@code allowed}
     * @return {@code true} if a pattern matches
     */
    public boolean allows(VersionName version) {
        return allowed.contains(version.toString()) || allowed.contains(version.model() + "/*");
    }
}
