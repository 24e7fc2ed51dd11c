package org.masticpaddle.entry;

import java.net.URI;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.masticpaddle.admission.DemandSummary;
import org.masticpaddle.admission.OrganisationLimiter;
import org.masticpaddle.platform.Instance;
import org.masticpaddle.wire.Hashing;
import org.masticpaddle.wire.HttpResponse;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.Json;

/**
 * Exchanges the demand of the organisations between entries, so that each entry enforces its share of every limit.
 *
 * <p>Each second, an entry sends its own demand to one relay of its failure domain and receives the relay's summary.
 * The relays are the first {@value #RELAYS_PER_DOMAIN} entries of a failure domain by rendezvous hashing. They divide
 * the other domains among them and send the sum of their own domain to one relay of each. The number of messages per
 * entry does not grow with the number of entries. All methods run on the entry's duty.
 */
final class DemandExchange {
    /** Number of relays of a failure domain; two may be lost at the same time. */
    static final int RELAYS_PER_DOMAIN = 3;

    private static final long INTERVAL_MILLIS = 1_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final EntryContext context;
    private final HttpClient client;
    private final String instance;
    private final String domain;
    private final OrganisationLimiter limiter;
    private long nextSendMillis;
    private int round;

    DemandExchange(
            EntryContext context, HttpClient client, String instance, String domain, OrganisationLimiter limiter) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.client = Objects.requireNonNull(client, "client is null");
        this.instance = Objects.requireNonNull(instance, "instance is null");
        this.domain = Objects.requireNonNull(domain, "domain is null");
        this.limiter = Objects.requireNonNull(limiter, "limiter is null");
    }

    /** Sends the messages of this second if they are due. */
    void tick(List<Instance> entries) {
        if (context.nowMillis() < nextSendMillis) {
            return;
        }
        nextSendMillis = context.nowMillis() + INTERVAL_MILLIS;
        round++;
        limiter.setEntryCount(entries.size());
        final DemandSummary ownDemand =
                new DemandSummary(List.of(limiter.publish(context.nowMillis(), context.nowNanos())));
        final Map<String, List<Instance>> relays = relays(entries);
        final List<Instance> domainRelays = relays.getOrDefault(domain, List.of());
        if (domainRelays.stream().noneMatch(relay -> relay.id().equals(instance))) {
            relayOfRound(domainRelays).forEach(relay -> send(relay.address(), ownDemand));
            return;
        }
        domainRelays.stream()
                .filter(relay -> !relay.id().equals(instance))
                .forEach(relay -> send(relay.address(), ownDemand));
        final DemandSummary domainDemand =
                new DemandSummary(List.of(limiter.summary(context.nowNanos()).aggregate(domain, context.nowMillis())));
        final int position = position(domainRelays);
        relays.forEach((other, members) -> {
            if (!other.equals(domain) && sendsTo(other, position, domainRelays.size())) {
                relayOfRound(members).forEach(relay -> send(relay.address(), domainDemand));
            }
        });
    }

    private int position(List<Instance> domainRelays) {
        for (int index = 0; index < domainRelays.size(); index++) {
            if (domainRelays.get(index).id().equals(instance)) {
                return index;
            }
        }
        return 0;
    }

    /**
     * Returns whether this relay sends to another domain in this round. The relays of a domain divide the other domains
     * among them and rotate every round, in case one of them is lost.
     */
    private boolean sendsTo(String otherDomain, int position, int relayCount) {
        return Math.floorMod(Hashing.hash64(otherDomain) + round, relayCount) == position;
    }

    /** Merges a summary that another entry sent, and returns the summary to respond with. */
    DemandSummary receive(DemandSummary summary) {
        limiter.receive(summary, context.nowNanos());
        return limiter.summary(context.nowNanos());
    }

    /** Returns the relays of each failure domain. */
    static Map<String, List<Instance>> relays(List<Instance> entries) {
        return entries.stream()
                .collect(Collectors.groupingBy(
                        Instance::failureDomain,
                        TreeMap::new,
                        Collectors.collectingAndThen(Collectors.toList(), DemandExchange::selectRelays)));
    }

    private static List<Instance> selectRelays(List<Instance> members) {
        return members.stream()
                .sorted(Comparator.comparingLong(
                                (Instance member) -> Hashing.rendezvousWeight(member.failureDomain(), member.id()))
                        .thenComparing(Instance::id))
                .limit(RELAYS_PER_DOMAIN)
                .toList();
    }

    private List<Instance> relayOfRound(List<Instance> members) {
        return members.isEmpty() ? List.of() : List.of(members.get(round % members.size()));
    }

    private void send(URI relay, DemandSummary summary) {
        client.send(HttpRequest.post(relay, "/internal/demand", summary, TIMEOUT)).thenAccept(this::onResponse);
    }

    private void onResponse(HttpResponse response) {
        if (response.successful()) {
            final DemandSummary summary = Json.decode(response.body(), DemandSummary.class);
            context.loop().offer(() -> limiter.receive(summary, context.nowNanos()));
        }
    }
}
