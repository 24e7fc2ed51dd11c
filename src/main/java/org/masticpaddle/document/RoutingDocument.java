package org.masticpaddle.document;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.wire.Rank;

/**
 * Checked routing document: the declarations of all teams. Immutable and thread-safe.
 *
 * @param organisations organisations by name
 * @param versions versions by name
 * @param ranks declared policies by rank
 * @param rollouts rollouts by name
 * @param services plain services by name
 */
public record RoutingDocument(
        Map<String, Organisation> organisations,
        Map<VersionName, ModelVersion> versions,
        Map<Rank, RankPolicy> ranks,
        Map<String, Rollout> rollouts,
        Map<String, PlainService> services) {
    /** Empty document, which allows no requests. */
    public static final RoutingDocument EMPTY = new RoutingDocument(Map.of(), Map.of(), Map.of(), Map.of(), Map.of());

    /** Copies the maps. */
    public RoutingDocument {
        organisations = Map.copyOf(organisations);
        versions = Map.copyOf(versions);
        ranks = Map.copyOf(ranks);
        rollouts = Map.copyOf(rollouts);
        services = Map.copyOf(services);
    }

    /**
     * Finds an organisation by its credential.
     *
     * @param credential {@code sha256:} and the hexadecimal hash of a bearer key
     * @return the organisation, empty if none has the credential
     */
    public Optional<Organisation> organisationOf(String credential) {
        Objects.requireNonNull(credential, "credential is null");
        return organisations.values().stream()
                .filter(organisation -> credential.equals(organisation.credential()))
                .findFirst();
    }

    /**
     * Lists the active versions that an organisation may use, ordered by output price, then by name.
     *
     * @param organisation organisation of the request
     * @return active and allowed versions, cheapest first
     */
    public List<ModelVersion> activeVersions(Organisation organisation) {
        return versions.values().stream()
                .filter(version -> version.state() == ModelVersion.State.ACTIVE)
                .filter(version -> organisation.allows(version.name()))
                .sorted(Comparator.comparingLong(ModelVersion::outputPriceMicros)
                        .thenComparing(version -> version.name().toString()))
                .toList();
    }

    /**
     * Returns the policy of a rank.
     *
     * @param rank rank of the request
     * @return declared policy, or the default if the document declares none
     */
    public RankPolicy policy(Rank rank) {
        final RankPolicy declared = ranks.get(rank);
        return declared != null ? declared : new RankPolicy(rank, 410, 30_000, 0);
    }
}
