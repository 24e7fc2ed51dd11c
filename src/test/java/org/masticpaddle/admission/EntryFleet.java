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

/** Fake of several entries that exchange summaries through one relay for each failure domain, in virtual time. */
final class EntryFleet {
    static final double LIMIT = 1_000;

    private static final long STEP = 10_000_000L;
    private static final long EXCHANGE_STEPS = 200;
    private static final int WINDOW_STEPS = 1_000;
    private static final Limits LIMITS =
            new Limits(LIMIT, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);

    private final List<OrganisationLimiter> entries = new ArrayList<>();
    private final List<DemandView> relays = new ArrayList<>();
    private final UniformRandomProvider random;
    private final int domains;
    private final Deque<Integer> window = new ArrayDeque<>();
    private int inWindow;
    private long step;

    EntryFleet(int count, int domains, long seed) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.domains = domains;
        for (int index = 0; index < count; index++) {
            final OrganisationLimiter book = OrganisationLimiter.of("entry-" + index, "domain-" + index % domains);
            book.setEntryCount(count);
            entries.add(book);
        }
        for (int index = 0; index < domains; index++) {
            relays.add(DemandView.create());
        }
    }

    void members(int count) {
        entries.forEach(entry -> entry.setEntryCount(count));
    }

    /** Runs for some seconds; returns the most that was admitted in a window of 10 s ending there, against the limit. */
    double run(int seconds, IntToDoubleFunction demand, IntPredicate alive, IntPredicate connected) {
        double most = 0;
        for (final long end = step + seconds * 100L; step < end; step++) {
            final long now = step * STEP;
            int admitted = 0;
            for (int index = 0; index < entries.size(); index++) {
                if (alive.test(index)) {
                    admitted += admit(index, demand.applyAsDouble(index), now);
                    if (connected.test(index) && (step + index * 7L) % EXCHANGE_STEPS == 0) {
                        exchange(index, now);
                    }
                }
            }
            window.add(admitted);
            inWindow += admitted;
            if (window.size() > WINDOW_STEPS) {
                inWindow -= window.remove();
                most = Math.max(most, inWindow / (10 * LIMIT));
            }
        }
        return most;
    }

    /** Admitted requests of the last 10 s, against the limit. */
    double last() {
        return inWindow / (10 * LIMIT);
    }

    private int admit(int index, double perSecond, long now) {
        int admitted = 0;
        double left = perSecond * STEP / 1e9;
        for (left += Math.log(1 - random.nextDouble()); left > 0; left += Math.log(1 - random.nextDouble())) {
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
        final List<DemandRow> folded = new ArrayList<>();
        for (int domain = 0; domain < domains; domain++) {
            folded.add(relays.get(domain).summary(now).aggregate("domain-" + domain, millis));
        }
        entries.get(index).receive(new DemandSummary(folded), now);
    }
}
