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
 * Random schedule of callers, entries, sidecars, a network and a log around the pure classes, with the properties that
 * must hold after each step.
 */
final class ClaimWorld {
    static final long LIFETIME = 600_000;
    private static final long RETENTION = LIFETIME + 300_000;
    private static final ClaimSettings CLAIMS =
            new ClaimSettings(1, LIFETIME, 5, 10, 6, 10, 4, 3, 20, 100, 30, 200, 150);
    private static final ChargeSettings CHARGES = new ChargeSettings(50, 3, 1_000, 400, 30, 200);

    final UniformRandomProvider random;
    final BrokenGuard broken;
    final RecordedLog claims = new RecordedLog();
    final RecordedLog charges = new RecordedLog();
    final Map<String, Integer> seen = new TreeMap<>();
    private final List<Runnable> messages = new ArrayList<>();
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final List<SimulatedSidecar> sidecars = new ArrayList<>();
    private final List<IdempotencyKey> keys = new ArrayList<>();
    private final Map<String, List<ClaimRecord.Claim>> runs = new HashMap<>();
    private final Set<String> promised = new HashSet<>();
    private long now = 1_700_000_000_000L;
    private boolean outage;

    ClaimWorld(long seed, BrokenGuard broken) {
        this.random = RandomSource.SPLIT_MIX_64.create(seed);
        this.broken = broken;
        for (int index = 0; index < 3; index++) {
            entries.add(new SimulatedEntry(this));
        }
        for (int index = 0; index < 2; index++) {
            sidecars.add(new SimulatedSidecar(this, "s" + index));
        }
        newKey();
        newKey();
    }

    void run(int steps) {
        for (int step = 0; step < steps; step++) {
            step();
            claims.trim(now - RETENTION);
            checkChargesCountOnce();
        }
        heal();
        checkSurvivingChargesAreCounted();
    }

    long now() {
        return now;
    }

    boolean chance(int percent) {
        return random.nextInt(100) < percent;
    }

    void send(Runnable message) {
        messages.add(message);
    }

    void count(String event) {
        seen.merge(event, 1, Integer::sum);
    }

    SimulatedSidecar sidecar(String name) {
        return sidecars.stream()
                .filter(one -> one.name.equals(name))
                .findFirst()
                .orElseThrow();
    }

    static ClaimPartition partition(ClaimWorld world, Set<String> ownAttempts) {
        final AttemptIdGenerator ids = new AttemptIdGenerator(world::now, world.random::nextLong);
        return new ClaimPartition(CLAIMS, () -> {
            final String id = ids.get();
            ownAttempts.add(id);
            return id;
        });
    }

    static ChargeBuffer chargeBuffer() {
        return new ChargeBuffer(CHARGES);
    }

    /** Appends to a stream if the log is available. */
    boolean append(RecordedLog log, List<byte[]> records) {
        if (outage) {
            return false;
        }
        log.append(records, now);
        return true;
    }

    boolean outage() {
        return outage;
    }

    /** Checks that a run is the only one of its key and that nobody was told it would not happen. */
    void ran(ClaimRecord.Claim claim) {
        count("run");
        final IdempotencyKey key = claim.key();
        final long claimed =
                timeOnLog(claim.attemptId()).orElseThrow(() -> violation("run without a claim on the log"));
        for (final ClaimRecord.Claim earlier : runs.getOrDefault(name(key), List.of())) {
            if (claimed < earlier.key().createdMillis() + LIFETIME) {
                throw violation("key " + name(key) + " ran twice");
            }
        }
        if (promised.contains(claim.attemptId())) {
            throw violation("attempt ran after not_run");
        }
        runs.computeIfAbsent(name(key), absent -> new ArrayList<>()).add(claim);
    }

    /** Checks that no claim of the key that was on the log when the request was given up has run, or runs later. */
    void promiseNotRun(IdempotencyKey key, int logSize, long givenUp) {
        count("not_run");
        for (final LogRecord record : claims.history().subList(0, logSize)) {
            final ClaimRecord decoded = ClaimRecord.decode(record.data()).orElseThrow();
            if (decoded instanceof ClaimRecord.Claim claim
                    && name(claim.key()).equals(name(key))
                    && claim.key().createdMillis() + LIFETIME > givenUp) {
                if (runs.getOrDefault(name(key), List.of()).contains(claim)) {
                    throw violation("not_run of a key that ran");
                }
                promised.add(claim.attemptId());
            }
        }
    }

    private void step() {
        final int choice = random.nextInt(100);
        if (choice < 48) {
            deliver();
        } else if (choice < 75) {
            pick(entries).turn();
        } else if (choice < 81) {
            pick(entries).call(pick(keys), pick(sidecars), chance(90) ? "body" : "other");
        } else if (choice < 89) {
            now += random.nextInt(20);
        } else if (choice < 95) {
            pick(sidecars).turn();
        } else {
            fault(random.nextInt(120));
        }
    }

    private void fault(int choice) {
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
            newKey();
        } else if (choice < 115) {
            now += random.nextInt(240_000);
        } else {
            now += LIFETIME + 1;
            newKey();
            newKey();
        }
    }

    private void deliver() {
        if (messages.isEmpty()) {
            return;
        }
        final int index = random.nextInt(messages.size());
        final Runnable message = messages.get(index);
        final int fate = random.nextInt(100);
        if (fate >= 12) {
            messages.remove(index);
        }
        if (fate < 88) {
            message.run();
        }
    }

    /** Adds a key, sometimes an old name with a new creation time, as from a careless caller. */
    private void newKey() {
        final boolean repeated = !keys.isEmpty() && chance(20);
        final String text = repeated ? pick(keys).key() : "k" + random.nextInt(1_000_000);
        if (keys.size() >= 3) {
            keys.remove(random.nextInt(keys.size()));
        }
        keys.add(new IdempotencyKey("o", text, now - random.nextInt(50_000)));
    }

    private void heal() {
        outage = false;
        entries.forEach(SimulatedEntry::resume);
        sidecars.forEach(SimulatedSidecar::resume);
        for (int round = 0; round < 60; round++) {
            now += 60;
            final List<Runnable> batch = List.copyOf(messages);
            messages.clear();
            batch.forEach(Runnable::run);
            entries.forEach(SimulatedEntry::turn);
            sidecars.forEach(SimulatedSidecar::sendCharges);
        }
        checkChargesCountOnce();
    }

    private void checkChargesCountOnce() {
        final long counted = totals();
        if (counted > runs.size()) {
            throw violation(counted + " charges of " + runs.size() + " identities");
        }
    }

    private void checkSurvivingChargesAreCounted() {
        final Set<String> identities = new HashSet<>();
        charges.history()
                .forEach(record ->
                        identities.add(Json.decode(record.data(), Charge.class).identity()));
        for (final SimulatedSidecar sidecar : sidecars) {
            for (final String identity : sidecar.finished) {
                if (!identities.contains(identity)) {
                    throw violation("charge of " + identity + " is lost although its sidecar lives");
                }
            }
        }
    }

    private long totals() {
        if (broken == BrokenGuard.CHARGE_COUNTS_ONCE) {
            return charges.history().size();
        }
        final ChargeTotals totals = new ChargeTotals();
        charges.history().forEach(totals::apply);
        return totals.totals().values().stream()
                .mapToLong(ChargeTotals.Total::requests)
                .sum();
    }

    private Optional<Long> timeOnLog(String attemptId) {
        return claims.history().stream()
                .filter(record -> ClaimRecord.decode(record.data()).orElseThrow() instanceof ClaimRecord.Claim claim
                        && claim.attemptId().equals(attemptId))
                .map(LogRecord::timeMillis)
                .findFirst();
    }

    private <T> T pick(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }

    static String name(IdempotencyKey key) {
        return key.organisation() + '/' + key.key();
    }

    private static AssertionError violation(String what) {
        return new AssertionError(what);
    }
}
