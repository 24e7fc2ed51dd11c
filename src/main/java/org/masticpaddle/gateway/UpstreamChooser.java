package org.masticpaddle.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.routing.UpstreamPlacement;

/**
 * Chooses the upstreams of one request's attempts, by the versions that may run it and the upstreams that were tried.
 *
 * <p>Invariant: the versions are asked for at each attempt, since a rollout may start or end meanwhile. Used on the event
 * loop only.
 */
final class UpstreamChooser {
    private final GatewayContext context;
    private final AdmittedRequest admitted;
    private final String service;
    private final RequestModels models;
    private final Set<String> triedUpstreams = new HashSet<>();
    private VersionRouter.EligibleUpstreams eligible;
    private boolean preferredVersionFailed;

    UpstreamChooser(GatewayContext context, AdmittedRequest admitted, String service, RequestModels models) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.admitted = Objects.requireNonNull(admitted, "admitted is null");
        this.service = Objects.requireNonNull(service, "service is null");
        this.models = Objects.requireNonNull(models, "models is null");
    }

    /** Returns the versions that applied to the last choice. */
    VersionRouter.EligibleUpstreams eligible() {
        return eligible;
    }

    /** Records that an upstream failed the request after it may have run. */
    void onUpstreamFailed(Upstream upstream) {
        preferredVersionFailed |= eligible.preferred().test(upstream);
    }

    /** Records that an attempt at an upstream has ended without an answer. */
    void onTried(Upstream upstream) {
        triedUpstreams.add(upstream.id());
    }

    /** Returns the best upstream of the preferred version for a model, whether or not it was tried. */
    Optional<UpstreamPlacement.Choice> bestPreferred(int modelIndex) {
        return best(modelIndex, member -> true);
    }

    /** Returns the best upstream of the preferred version that states a limit and permits a request. */
    Optional<UpstreamPlacement.Choice> bestLimited(int modelIndex) {
        return best(modelIndex, member -> member.limit().isPresent());
    }

    private Optional<UpstreamPlacement.Choice> best(int modelIndex, Predicate<UpstreamState> allowed) {
        return context.placement()
                .choose(
                        models.placementRequest(models.name(modelIndex), modelIndex, false),
                        context.state().registry().members(service),
                        allowed.and(member -> eligible.preferred().test(member.upstream())),
                        context.state().serviceTimes(service),
                        now());
    }

    /**
     * Chooses the upstream of the next attempt. Prefers upstreams that were not tried yet, those of the preferred version
     * first unless an attempt on that version has failed; otherwise falls back to upstreams that were tried before.
     *
     * @param model name of the model that the attempt runs
     * @param modelIndex index of the model
     * @param mayWait whether the request can still wait for an upstream of its version
     * @param isolated whether the request may crash its upstream, so that the one with the fewest other requests is preferred
     * @return the choice, empty if no upstream may get the request now
     */
    Optional<UpstreamPlacement.Choice> choose(String model, int modelIndex, boolean mayWait, boolean isolated) {
        eligible = context.versionRouter()
                .eligibleUpstreams(
                        service,
                        admitted.request().session(),
                        admitted.request().id());
        final List<UpstreamState> members = context.state().registry().members(service);
        final UpstreamPlacement.Request request = models.placementRequest(model, modelIndex, isolated);
        final Predicate<UpstreamState> preferred =
                member -> eligible.preferred().test(member.upstream());
        final Predicate<Upstream> permittedVersions = permittedVersions(members, mayWait);
        final Predicate<UpstreamState> permitted = member -> permittedVersions.test(member.upstream());
        final Predicate<UpstreamState> untried =
                member -> !triedUpstreams.contains(member.upstream().id());
        final Predicate<UpstreamState> untriedOtherVersions =
                permitted.and(preferred.negate()).and(untried);
        return Stream.of(
                        preferredVersionFailed ? untriedOtherVersions : preferred.and(untried),
                        preferred.and(untried),
                        permitted.and(untried),
                        preferred,
                        permitted)
                .map(allowed -> context.placement()
                        .choose(request, members, allowed, context.state().serviceTimes(service), now()))
                .flatMap(Optional::stream)
                .findFirst();
    }

    /**
     * Returns whether the request has no upstream left only because failure domains are evacuated. The last choice determines the
     * versions that count.
     */
    boolean allEvacuated() {
        return context.state().registry().members(service).stream().noneMatch(this::mayRun)
                && context.state().registry().evacuated(service).stream().anyMatch(this::mayRun);
    }

    private boolean mayRun(UpstreamState member) {
        return eligible.preferred()
                .or(eligible.permitted())
                .or(eligible.lastResort())
                .test(member.upstream());
    }

    /**
     * Returns the versions that may run the request now. Until half of its time has passed, a request waits for an upstream of
     * its version rather than run on another one, as long as its version has upstreams and has not failed it.
     */
    private Predicate<Upstream> permittedVersions(List<UpstreamState> members, boolean mayWait) {
        final boolean failed = preferredVersionFailed && eligible.assignment().leavesAfterFailure();
        final boolean versionHasUpstreams =
                members.stream().anyMatch(member -> eligible.permitted().test(member.upstream()));
        return failed || !versionHasUpstreams || !mayWait ? eligible.lastResort() : eligible.permitted();
    }

    private long now() {
        return context.scheduler().nanos();
    }
}
