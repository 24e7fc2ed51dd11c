package org.masticpaddle.document;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.masticpaddle.platform.EventLog;
import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.PlatformException;

/**
 * Calls to the configuration stream that wait for their answer. Fails with {@link PlatformException}. Thread-safe.
 *
 * @param log the platform's log
 * @param readWait longest time that a read waits for a record
 * @param timeout time after which a call without an answer has failed
 */
record BlockingLogClient(EventLog log, Duration readWait, Duration timeout) {
    private static final int PAGE_RECORDS = 200;

    LogPage read(long from) {
        return await(log.read(ConfigurationRecord.STREAM, from, PAGE_RECORDS, readWait));
    }

    long append(ConfigurationRecord record) {
        return await(log.append(ConfigurationRecord.STREAM, List.of(record.encode())));
    }

    private <T> T await(CompletableFuture<T> call) {
        try {
            return call.get(timeout.plus(readWait).toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof PlatformException platform) {
                throw platform;
            }
            throw possible("call of the log failed: " + e.getCause(), e);
        } catch (TimeoutException e) {
            throw possible("the log gave no answer in " + timeout.toMillis() + " ms", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw possible("interrupted", e);
        }
    }

    private static PlatformException possible(String message, Exception cause) {
        return new PlatformException(PlatformException.Effect.POSSIBLE, message, cause);
    }
}
