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
 * Exchanges the organisations' demand between entries, so that each enforces its part of every limit.
 *
 * <p>An entry sends its row to one relay of its failure domain each second and receives the relay's summary. The relays
 * are the first {@value #RELAYS} entries of a failure domain by rendezvous hash; each sends the sum of its domain to one
 * relay of every other domain. The messages of an entry do not grow with the number of entries. All methods run on the
 * entry's duty.
 */
final class DemandExchange {
    /** Relays of a failure domain; two may be lost at the same time. */
    static final int RELAYS = 3;

    private static final long INTERVAL_MILLIS = 1_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final EntryContext context;
    private final HttpClient client;
    private final String instance;
    private final String domain;
    private final OrganisationLimiter limits;
    private long nextMillis;
    private int round;

    DemandExchange(
            EntryContext context, HttpClient client, String instance, String domain, OrganisationLimiter limits) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.client = Objects.requireNonNull(client, "client is null");
        this.instance = Objects.requireNonNull(instance, "instance is null");
        this.domain = Objects.requireNonNull(domain, "domain is null");
        this.limits = Objects.requireNonNull(limits, "limits is null");
    }

    /** Sends what is due. */
    void tick(List<Instance> entries) {
        if (context.millis() < nextMillis) {
            return;
        }
        nextMillis = context.millis() + INTERVAL_MILLIS;
        round++;
        limits.setEntryCount(entries.size());
        final DemandSummary own = new DemandSummary(List.of(limits.publish(context.millis(), context.nanos())));
        final Map<String, List<Instance>> relays = relays(entries);
        final List<Instance> domainRelays = relays.getOrDefault(domain, List.of());
        if (domainRelays.stream().noneMatch(relay -> relay.id().equals(instance))) {
            turn(domainRelays).forEach(relay -> send(relay.address(), own));
            return;
        }
        domainRelays.stream()
                .filter(relay -> !relay.id().equals(instance))
                .forEach(relay -> send(relay.address(), own));
        final DemandSummary sum =
                new DemandSummary(List.of(limits.summary(context.nanos()).aggregate(domain, context.millis())));
        final int position = position(domainRelays);
        relays.forEach((other, members) -> {
            if (!other.equals(domain) && sends(other, position, domainRelays.size())) {
                turn(members).forEach(relay -> send(relay.address(), sum));
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

    /** The relays of a domain divide the other domains, and pass them on in turn in case one of them is lost. */
    private boolean sends(String other, int position, int count) {
        return Math.floorMod(Hashing.hash64(other) + round, count) == position;
    }

    /** Takes in a message and returns the answer to it. */
    DemandSummary receive(DemandSummary summary) {
        limits.receive(summary, context.nanos());
        return limits.summary(context.nanos());
    }

    /** The relays of each failure domain. */
    static Map<String, List<Instance>> relays(List<Instance> entries) {
        return entries.stream()
                .collect(Collectors.groupingBy(
                        Instance::failureDomain,
                        TreeMap::new,
                        Collectors.collectingAndThen(Collectors.toList(), DemandExchange::first)));
    }

    private static List<Instance> first(List<Instance> members) {
        return members.stream()
                .sorted(Comparator.comparingLong(
                                (Instance member) -> Hashing.rendezvousWeight(member.failureDomain(), member.id()))
                        .thenComparing(Instance::id))
                .limit(RELAYS)
                .toList();
    }

    private List<Instance> turn(List<Instance> members) {
        return members.isEmpty() ? List.of() : List.of(members.get(round % members.size()));
    }

    private void send(URI relay, DemandSummary summary) {
        client.send(HttpRequest.post(relay, "/internal/demand", summary, TIMEOUT)).thenAccept(this::answered);
    }

    private void answered(HttpResponse answer) {
        if (answer.successful()) {
            final DemandSummary summary = Json.decode(answer.body(), DemandSummary.class);
            context.loop().offer(() -> limits.receive(summary, context.nanos()));
        }
    }
}
