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

/** Guards against charges that are lost, counted twice, or settled before the log has them. */
class ChargeWriterTest {
    private static final long HOLD = 10_000;

    private final AtomicLong clock = new AtomicLong(1_700_000_000_000L);
    private final FakeEventLog log = new FakeEventLog(clock::get);
    private final ChargeWriter writer =
            new ChargeWriter(log, new ChargeSettings(2_000, 100, 3, HOLD, 250, 3_000), clock::get);

    @Test
    void shouldAppendABatchAndAcknowledgeAfterwards() {
        final AtomicInteger acknowledged = new AtomicInteger();
        writer.start();
        writer.append(charge("i1", 5), acknowledged::incrementAndGet);
        writer.append(charge("i2", 7), acknowledged::incrementAndGet);
        until(() -> writer.pendingCount() == 2);
        assertThat(acknowledged.get()).isEqualTo(0);
        clock.addAndGet(2_000);
        until(() -> acknowledged.get() == 2);
        assertThat(log.appends()).isEqualTo(1);
        writer.stop();
    }

    @Test
    void shouldRepeatAfterALostAcknowledgementAndCountOnce() {
        final AtomicInteger acknowledged = new AtomicInteger();
        log.appending(FakeEventLog.Behaviour.LOSE_ANSWER);
        writer.start();
        writer.append(charge("i1", 5), acknowledged::incrementAndGet);
        until(() -> writer.pendingCount() == 1);
        clock.addAndGet(2_000);
        until(() -> log.appends() > 0);
        assertThat(acknowledged.get()).isEqualTo(0);
        log.appending(FakeEventLog.Behaviour.WORK);
        until(() -> {
            clock.addAndGet(250);
            return acknowledged.get() == 1;
        });
        writer.stop();
        assertThat(log.history(ChargeWriter.STREAM).size()).isAtLeast(2);
        assertThat(new ChargeReader(log).read().join())
                .containsExactly(new ChargeTotals.Line("o", "m", "v"), new ChargeTotals.Total(1, 2, 3, 5, 1));
    }

    @Test
    void shouldKeepTheOldestChargesInAnOutage() {
        log.appending(FakeEventLog.Behaviour.FAIL);
        writer.start();
        for (int index = 0; index < 5; index++) {
            writer.append(charge("i" + index, 1), () -> {});
        }
        until(() -> writer.droppedCount() == 2);
        until(() -> writer.pendingCount() == 3);
        log.appending(FakeEventLog.Behaviour.WORK);
        writer.stop();
        assertThat(log.history(ChargeWriter.STREAM).stream()
                        .map(record -> Json.decode(record.data(), Charge.class).identity()))
                .containsExactly("i0", "i1", "i2")
                .inOrder();
    }

    @Test
    void shouldAppendAHeldChargeOnlyIfItIsNotSettled() {
        writer.start();
        writer.hold(charge("i1", 5));
        writer.hold(charge("i2", 7));
        until(() -> writer.pendingCount() == 2);
        writer.discardHeld("attempt of i1");
        until(() -> writer.pendingCount() == 1);
        assertThat(log.appends()).isEqualTo(0);
        clock.addAndGet(HOLD);
        until(() -> writer.pendingCount() == 0);
        assertThat(log.history(ChargeWriter.STREAM)).hasSize(1);
        writer.stop();
    }

    @Test
    void shouldAppendHeldChargesWhenItStops() {
        writer.start();
        writer.hold(charge("i1", 5));
        writer.stop();
        assertThat(log.history(ChargeWriter.STREAM)).hasSize(1);
        assertThat(writer.append(charge("i2", 5), () -> {})).isFalse();
    }

    @Test
    void shouldTotalEachIdentityOnceAndIgnoreOtherBytes() {
        final ChargeReader reader = new ChargeReader(log);
        assertThat(reader.read().join()).isEmpty();
        log.append(ChargeWriter.STREAM, List.of(new byte[] {'{'}, Json.encode(charge("i1", 5))));
        log.append(ChargeWriter.STREAM, List.of(Json.encode(charge("i1", 5)), Json.encode(charge("i2", 7))));
        final Charge other = new Charge("i1", "p", "m", "v", 2, 3, 9, 1, "a");
        log.append(ChargeWriter.STREAM, List.of(Json.encode(other)));
        assertThat(reader.read().join())
                .containsExactly(
                        new ChargeTotals.Line("o", "m", "v"), new ChargeTotals.Total(2, 4, 6, 12, 2),
                        new ChargeTotals.Line("p", "m", "v"), new ChargeTotals.Total(1, 2, 3, 9, 1));
    }

    private static Charge charge(String identity, long billed) {
        return new Charge(identity, "o", "m", "v", 2, 3, billed, 1, "attempt of " + identity);
    }

    private static void until(BooleanSupplier condition) {
        final long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        assertTrue(condition.getAsBoolean());
    }
}
