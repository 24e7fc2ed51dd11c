package org.masticpaddle.document;

import java.util.List;
import java.util.Objects;

/**
 * Declaration of an organisation. Immutable and thread-safe.
 *
 * @param name name
 * @param team team that owns the section
 * @param credential reference to its key: {@code sha256:} and the hexadecimal hash of the bearer key
 * @param weight share in the fair division of each rank, above 0
 * @param quality quality that its requests need, between 0 and 1
 * @param allowed patterns of allowed versions, each {@code model/version} or {@code model/*}
 * @param services names of the plain services it may call
 * @param explorationShare largest share of its requests used to learn about other allowed versions
 * @param limits limits over all entries together
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
     * Tells whether the organisation may use a version.
     *
     * @param version the version
     * @return {@code true} if a pattern matches
     */
    public boolean allows(VersionName version) {
        return allowed.contains(version.toString()) || allowed.contains(version.model() + "/*");
    }
}
