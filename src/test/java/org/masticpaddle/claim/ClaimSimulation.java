package org.masticpaddle.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.billing.ChargeBuffer;
import org.masticpaddle.billing.ChargeSettings;
import org.masticpaddle.billing.ChargeTotals;
import org.masticpaddle.platform.LogRecord;
import org.masticpaddle.wire.Charge;
import org.masticpaddle.wire.Json;

/**
 * Simulates a random schedule of callers, entries, sidecars, a network and a log around the classes under test, which
 * perform no I/O, and checks the invariants after each step.
 */
final class ClaimSimulation {
    static final long LIFETIME_MILLIS = 600_000;
    private static final long RETENTION_MILLIS = LIFETIME_MILLIS + 300_000;
    private static final ClaimSettings CLAIM_SETTINGS =
            new ClaimSettings(1, LIFETIME_MILLIS, 5, 10, 6, 10, 4, 3, 20, 100, 30, 200, 150);
    private static final ChargeSettings CHARGE_SETTINGS = new ChargeSettings(50, 3, 1_000, 400, 30, 200);

    final UniformRandomProvider random;
    final BrokenGuard brokenGuard;
    final InMemoryLogStream claims = new InMemoryLogStream();
    final InMemoryLogStream charges = new InMemoryLogStream();
    final Map<String, Integer> eventCounts = new TreeMap<>();
    private final List<Runnable> messages = new ArrayList<>();
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final List<SimulatedSidecar> sidecars = new ArrayList<>();
    private final List<IdempotencyKey> keys = new ArrayList<>();
    private final Map<String, List<ClaimRecord.Claim>> runsByKey = new HashMap<>();
    private final Set<String> attemptsReportedNotRun = new HashSet<>();
    private long nowMillis = 1_700_000_000_000L;
    private boolean outage;

    ClaimSimulation(long seed, BrokenGuard brokenGuard) {
        this.random = RandomSource.SPLIT_MIX_64.create(seed);
        this.brokenGuard = brokenGuard;
        for (int index = 0; index < 3; index++) {
            entries.add(new SimulatedEntry(this));
        }
        for (int index = 0; index < 2; index++) {
            sidecars.add(new SimulatedSidecar(this, "s" + index));
        }
        addKey();
        addKey();
    }

    void run(int steps) {
        for (int step = 0; step < steps; step++) {
            step();
            claims.trim(nowMillis - RETENTION_MILLIS);
            checkChargesCountOnce();
        }
        recover();
        checkSurvivingChargesAreCounted();
    }

    long now() {
        return nowMillis;
    }

    boolean chance(int percent) {
        return random.nextInt(100) < percent;
    }

    void send(Runnable message) {
        messages.add(message);
    }

    void count(String event) {
        eventCounts.merge(event, 1, Integer::sum);
    }

    SimulatedSidecar sidecar(String name) {
        return sidecars.stream()
                .filter(sidecar -> sidecar.name.equals(name))
                .findFirst()
                .orElseThrow();
    }

    static ClaimPartition newPartition(ClaimSimulation simulation, Set<String> ownAttempts) {
        final AttemptIdGenerator ids = new AttemptIdGenerator(simulation::now, simulation.random::nextLong);
        return new ClaimPartition(CLAIM_SETTINGS, () -> {
            final String id = ids.get();
            ownAttempts.add(id);
            return id;
        });
    }

    static ChargeBuffer newChargeBuffer() {
        return new ChargeBuffer(CHARGE_SETTINGS);
    }

    /** Appends to a stream if the log is available. */
    boolean append(InMemoryLogStream stream, List<byte[]> records) {
        if (outage) {
            return false;
        }
        stream.append(records, nowMillis);
        return true;
    }

    boolean outage() {
        return outage;
    }

    /**
     * Records a run, and checks that it is the only one of its key and that its attempt was not reported as not run.
     */
    void recordRun(ClaimRecord.Claim claim) {
        count("run");
        final IdempotencyKey key = claim.key();
        final long claimMillis =
                appendTimeMillis(claim.attemptId()).orElseThrow(() -> violation("run without a claim on the log"));
        for (final ClaimRecord.Claim earlier : runsByKey.getOrDefault(keyName(key), List.of())) {
            if (claimMillis < earlier.key().createdMillis() + LIFETIME_MILLIS) {
                throw violation("key " + keyName(key) + " ran twice");
            }
        }
        if (attemptsReportedNotRun.contains(claim.attemptId())) {
            throw violation("attempt ran after not_run");
        }
        runsByKey.computeIfAbsent(keyName(key), absent -> new ArrayList<>()).add(claim);
    }

    /**
     * Records that a request was reported as not run. Checks that no claim of its key that was on the log when the
     * request was abandoned has run, and marks these claims so that a later run of one is a violation.
     */
    void recordNotRun(IdempotencyKey key, int logSize, long abandonedMillis) {
        count("not_run");
        for (final LogRecord record : claims.history().subList(0, logSize)) {
            final ClaimRecord decoded = ClaimRecord.decode(record.data()).orElseThrow();
            if (decoded instanceof ClaimRecord.Claim claim
                    && keyName(claim.key()).equals(keyName(key))
                    && claim.key().createdMillis() + LIFETIME_MILLIS > abandonedMillis) {
                if (runsByKey.getOrDefault(keyName(key), List.of()).contains(claim)) {
                    throw violation("not_run of a key that ran");
                }
                attemptsReportedNotRun.add(claim.attemptId());
            }
        }
    }

    private void step() {
        final int choice = random.nextInt(100);
        if (choice < 48) {
            deliverMessage();
        } else if (choice < 75) {
            pick(entries).step();
        } else if (choice < 81) {
            pick(entries).receive(pick(keys), pick(sidecars), chance(90) ? "body" : "other");
        } else if (choice < 89) {
            nowMillis += random.nextInt(20);
        } else if (choice < 95) {
            pick(sidecars).step();
        } else {
            injectFault(random.nextInt(120));
        }
    }

    private void injectFault(int choice) {
        if (choice < 20) {
            pick(entries).restart();
        } else if (choice < 35) {
            pick(sidecars).restart();
        } else if (choice < 55) {
            pick(entries).togglePause();
        } else if (choice < 70) {
            pick(sidecars).togglePause();
        } else if (choice < 90) {
            outage = !outage && chance(50);
        } else if (choice < 110) {
            addKey();
        } else if (choice < 115) {
            nowMillis += random.nextInt(240_000);
        } else {
            nowMillis += LIFETIME_MILLIS + 1;
            addKey();
            addKey();
        }
    }

    private void deliverMessage() {
        if (messages.isEmpty()) {
            return;
        }
        final int index = random.nextInt(messages.size());
        final Runnable message = messages.get(index);
        final int outcome = random.nextInt(100);
        if (outcome >= 12) {
            messages.remove(index);
        }
        if (outcome < 88) {
            message.run();
        }
    }

    /** Adds a key, sometimes an earlier name with a new creation time, as a faulty caller may send it. */
    private void addKey() {
        final boolean repeated = !keys.isEmpty() && chance(20);
        final String text = repeated ? pick(keys).key() : "k" + random.nextInt(1_000_000);
        if (keys.size() >= 3) {
            keys.remove(random.nextInt(keys.size()));
        }
        keys.add(new IdempotencyKey("o", text, nowMillis - random.nextInt(50_000)));
    }

    private void recover() {
        outage = false;
        entries.forEach(SimulatedEntry::resume);
        sidecars.forEach(SimulatedSidecar::resume);
        for (int round = 0; round < 60; round++) {
            nowMillis += 60;
            final List<Runnable> batch = List.copyOf(messages);
            messages.clear();
            batch.forEach(Runnable::run);
            entries.forEach(SimulatedEntry::step);
            sidecars.forEach(SimulatedSidecar::sendCharges);
        }
        checkChargesCountOnce();
    }

    private void checkChargesCountOnce() {
        final long counted = countedCharges();
        if (counted > runsByKey.size()) {
            throw violation(counted + " charges of " + runsByKey.size() + " identities");
        }
    }

    private void checkSurvivingChargesAreCounted() {
        final Set<String> identities = new HashSet<>();
        charges.history()
                .forEach(record ->
                        identities.add(Json.decode(record.data(), Charge.class).identity()));
        for (final SimulatedSidecar sidecar : sidecars) {
            for (final String identity : sidecar.chargedIdentities) {
                if (!identities.contains(identity)) {
                    throw violation("charge of " + identity + " is lost although its sidecar did not restart");
                }
            }
        }
    }

    private long countedCharges() {
        if (brokenGuard == BrokenGuard.CHARGE_COUNTS_ONCE) {
            return charges.history().size();
        }
        final ChargeTotals totals = new ChargeTotals();
        charges.history().forEach(totals::apply);
        return totals.totals().values().stream()
                .mapToLong(ChargeTotals.Total::requests)
                .sum();
    }

    private Optional<Long> appendTimeMillis(String attemptId) {
        return claims.history().stream()
                .filter(record -> ClaimRecord.decode(record.data()).orElseThrow() instanceof ClaimRecord.Claim claim
                        && claim.attemptId().equals(attemptId))
                .map(LogRecord::timeMillis)
                .findFirst();
    }

    private <T> T pick(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }

    static String keyName(IdempotencyKey key) {
        return key.organisation() + '/' + key.key();
    }

    private static AssertionError violation(String message) {
        return new AssertionError(message);
    }
}
