package org.masticpaddle.document;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.wire.Rank;

/**
 * A checked routing document: what operators declare, all teams together. Immutable and thread-safe.
 *
 * @param organisations organisations by name
 * @param versions versions by name
 * @param ranks policy of each rank
 * @param rollouts roll-outs by name
 * @param services plain services by name
 */
public record RoutingDocument(
        Map<String, Organisation> organisations,
        Map<VersionName, ModelVersion> versions,
        Map<Rank, RankPolicy> ranks,
        Map<String, Rollout> rollouts,
        Map<String, PlainService> services) {
    /** A document that allows nothing. */
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
     * Finds the organisation of a bearer key.
     *
     * @param credential credential reference computed from the key
     * @return the organisation
     */
    public Optional<Organisation> organisationOf(String credential) {
        Objects.requireNonNull(credential, "credential is null");
        return organisations.values().stream()
                .filter(organisation -> credential.equals(organisation.credential()))
                .findFirst();
    }

    /**
     * Lists the versions that an organisation may use and that receive new work, cheapest first, then by name.
     *
     * @param organisation the organisation
     * @return the versions
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
     * @param rank the rank
     * @return its policy, or a default if the document declares none
     */
    public RankPolicy policy(Rank rank) {
        final RankPolicy declared = ranks.get(rank);
        return declared != null ? declared : new RankPolicy(rank, 410, 30_000, 0);
    }
}
