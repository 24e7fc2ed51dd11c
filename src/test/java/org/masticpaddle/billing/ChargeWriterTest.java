package org.masticpaddle.billing;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.Test;
import org.masticpaddle.claim.FakeEventLog;
import org.masticpaddle.wire.Charge;
import org.masticpaddle.wire.Json;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against charges that are lost, counted twice, or acknowledged before they are on the log. */
class ChargeWriterTest {
    private static final long HOLD_MILLIS = 10_000;

    private final AtomicLong clock = new AtomicLong(1_700_000_000_000L);
    private final FakeEventLog log = new FakeEventLog(clock::get);
    private final ChargeWriter writer =
            new ChargeWriter(log, new ChargeSettings(2_000, 100, 3, HOLD_MILLIS, 250, 3_000), clock::get);

    @Test
    void shouldAcknowledgeChargesAfterTheBatchIsAppended() {
        final AtomicInteger acknowledged = new AtomicInteger();
        writer.start();
        writer.append(charge("i1", 5), acknowledged::incrementAndGet);
        writer.append(charge("i2", 7), acknowledged::incrementAndGet);
        await(() -> writer.pendingCount() == 2);
        assertThat(acknowledged.get()).isEqualTo(0);
        clock.addAndGet(2_000);
        await(() -> acknowledged.get() == 2);
        assertThat(log.appendCount()).isEqualTo(1);
        writer.stop();
    }

    @Test
    void shouldRetryAfterALostAcknowledgementAndCountOnce() {
        final AtomicInteger acknowledged = new AtomicInteger();
        log.setAppendBehaviour(FakeEventLog.Behaviour.LOSE_RESPONSE);
        writer.start();
        writer.append(charge("i1", 5), acknowledged::incrementAndGet);
        await(() -> writer.pendingCount() == 1);
        clock.addAndGet(2_000);
        await(() -> log.appendCount() > 0);
        assertThat(acknowledged.get()).isEqualTo(0);
        log.setAppendBehaviour(FakeEventLog.Behaviour.SUCCEED);
        await(() -> {
            clock.addAndGet(250);
            return acknowledged.get() == 1;
        });
        writer.stop();
        assertThat(log.history(ChargeWriter.STREAM).size()).isAtLeast(2);
        assertThat(new ChargeReader(log).readToTail().join())
                .containsExactly(new ChargeTotals.LineItem("o", "m", "v"), new ChargeTotals.Total(1, 2, 3, 5, 1));
    }

    @Test
    void shouldDropTheNewestChargesWhenTheBufferIsFull() {
        log.setAppendBehaviour(FakeEventLog.Behaviour.FAIL);
        writer.start();
        for (int index = 0; index < 5; index++) {
            writer.append(charge("i" + index, 1), () -> {});
        }
        await(() -> writer.droppedCount() == 2);
        await(() -> writer.pendingCount() == 3);
        log.setAppendBehaviour(FakeEventLog.Behaviour.SUCCEED);
        writer.stop();
        assertThat(log.history(ChargeWriter.STREAM).stream()
                        .map(record -> Json.decode(record.data(), Charge.class).identity()))
                .containsExactly("i0", "i1", "i2")
                .inOrder();
    }

    @Test
    void shouldAppendAHeldChargeOnlyIfTheEntryDoesNotAcknowledgeIt() {
        writer.start();
        writer.hold(charge("i1", 5));
        writer.hold(charge("i2", 7));
        await(() -> writer.pendingCount() == 2);
        writer.discardHeld("attempt of i1");
        await(() -> writer.pendingCount() == 1);
        assertThat(log.appendCount()).isEqualTo(0);
        clock.addAndGet(HOLD_MILLIS);
        await(() -> writer.pendingCount() == 0);
        assertThat(log.history(ChargeWriter.STREAM)).hasSize(1);
        writer.stop();
    }

    @Test
    void shouldAppendHeldChargesOnStop() {
        writer.start();
        writer.hold(charge("i1", 5));
        writer.stop();
        assertThat(log.history(ChargeWriter.STREAM)).hasSize(1);
        assertThat(writer.append(charge("i2", 5), () -> {})).isFalse();
    }

    @Test
    void shouldCountEachIdentityOnceAndIgnoreMalformedRecords() {
        final ChargeReader reader = new ChargeReader(log);
        assertThat(reader.readToTail().join()).isEmpty();
        log.append(ChargeWriter.STREAM, List.of(new byte[] {'{'}, Json.encode(charge("i1", 5))));
        log.append(ChargeWriter.STREAM, List.of(Json.encode(charge("i1", 5)), Json.encode(charge("i2", 7))));
        final Charge other = new Charge("i1", "p", "m", "v", 2, 3, 9, 1, "a");
        log.append(ChargeWriter.STREAM, List.of(Json.encode(other)));
        assertThat(reader.readToTail().join())
                .containsExactly(
                        new ChargeTotals.LineItem("o", "m", "v"), new ChargeTotals.Total(2, 4, 6, 12, 2),
                        new ChargeTotals.LineItem("p", "m", "v"), new ChargeTotals.Total(1, 2, 3, 9, 1));
    }

    private static Charge charge(String identity, long billed) {
        return new Charge(identity, "o", "m", "v", 2, 3, billed, 1, "attempt of " + identity);
    }

    private static void await(BooleanSupplier condition) {
        final long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean() && System.nanoTime() < endNanos) {
            Thread.onSpinWait();
        }
        assertTrue(condition.getAsBoolean());
    }
}
