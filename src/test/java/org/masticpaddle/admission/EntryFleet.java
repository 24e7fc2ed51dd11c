package org.masticpaddle.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.function.IntToDoubleFunction;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.document.Limits;

/** Simulates entries that exchange demand summaries through one relay for each failure domain, in virtual time. */
final class EntryFleet {
    static final double LIMIT_PER_SECOND = 1_000;

    private static final long STEP_NANOS = 10_000_000L;
    private static final long EXCHANGE_STEPS = 200;
    private static final int WINDOW_STEPS = 1_000;
    private static final Limits LIMITS =
            new Limits(LIMIT_PER_SECOND, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);

    private final List<OrganisationLimiter> entries = new ArrayList<>();
    private final List<DemandView> relays = new ArrayList<>();
    private final UniformRandomProvider random;
    private final int domains;
    private final Deque<Integer> admittedPerStep = new ArrayDeque<>();
    private int admittedInWindow;
    private long step;

    EntryFleet(int count, int domains, long seed) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.domains = domains;
        for (int index = 0; index < count; index++) {
            final OrganisationLimiter limiter = OrganisationLimiter.of("entry-" + index, "domain-" + index % domains);
            limiter.setEntryCount(count);
            entries.add(limiter);
        }
        for (int index = 0; index < domains; index++) {
            relays.add(DemandView.create());
        }
    }

    void setEntryCount(int count) {
        entries.forEach(entry -> entry.setEntryCount(count));
    }

    /**
     * Runs for some seconds and returns the largest number of requests admitted in a window of 10 s that ends in this
     * run, relative to the limit.
     */
    double run(int seconds, IntToDoubleFunction demand, IntPredicate alive, IntPredicate connected) {
        double maxRatio = 0;
        for (final long end = step + seconds * 100L; step < end; step++) {
            final long now = step * STEP_NANOS;
            int admitted = 0;
            for (int index = 0; index < entries.size(); index++) {
                if (alive.test(index)) {
                    admitted += admit(index, demand.applyAsDouble(index), now);
                    if (connected.test(index) && (step + index * 7L) % EXCHANGE_STEPS == 0) {
                        exchange(index, now);
                    }
                }
            }
            admittedPerStep.add(admitted);
            admittedInWindow += admitted;
            if (admittedPerStep.size() > WINDOW_STEPS) {
                admittedInWindow -= admittedPerStep.remove();
                maxRatio = Math.max(maxRatio, admittedInWindow / (10 * LIMIT_PER_SECOND));
            }
        }
        return maxRatio;
    }

    /** Returns the number of requests admitted in the last 10 s, relative to the limit. */
    double lastWindowRatio() {
        return admittedInWindow / (10 * LIMIT_PER_SECOND);
    }

    private int admit(int index, double requestsPerSecond, long now) {
        int admitted = 0;
        double requestsLeft = requestsPerSecond * STEP_NANOS / 1e9;
        for (requestsLeft += Math.log(1 - random.nextDouble());
                requestsLeft > 0;
                requestsLeft += Math.log(1 - random.nextDouble())) {
            final OrganisationLimiter entry = entries.get(index);
            if (entry.admit("a", LIMITS, 1, 0, now) instanceof LimitDecision.Admitted) {
                admitted++;
                entry.release("a", 0, 0, now);
            }
        }
        return admitted;
    }

    private void exchange(int index, long now) {
        final long millis = now / 1_000_000;
        final DemandView relay = relays.get(index % domains);
        relay.receive(new DemandSummary(List.of(entries.get(index).publish(millis, now))), now);
        if (domains == 1) {
            entries.get(index).receive(relay.summary(now), now);
            return;
        }
        final List<DemandRow> aggregatedRows = new ArrayList<>();
        for (int domain = 0; domain < domains; domain++) {
            aggregatedRows.add(relays.get(domain).summary(now).aggregate("domain-" + domain, millis));
        }
        entries.get(index).receive(new DemandSummary(aggregatedRows), now);
    }
}
