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
 * Blocking client of the configuration stream. Its methods wait for the response and throw {@link PlatformException} on
 * failure. Thread-safe.
 *
 * @param log the platform's log
 * @param readWait long-poll timeout of a read
 * @param timeout time without a response after which a request fails, in addition to {@code readWait}
 */
record BlockingLogClient(EventLog log, Duration readWait, Duration timeout) {
    private static final int MAX_PAGE_RECORDS = 200;

    LogPage read(long from) {
        return await(log.read(ConfigurationRecord.STREAM, from, MAX_PAGE_RECORDS, readWait));
    }

    long append(ConfigurationRecord record) {
        return await(log.append(ConfigurationRecord.STREAM, List.of(record.encode())));
    }

    private <T> T await(CompletableFuture<T> response) {
        try {
            return response.get(timeout.plus(readWait).toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof PlatformException platform) {
                throw platform;
            }
            throw possibleEffect("request to the log failed: " + e.getCause(), e);
        } catch (TimeoutException e) {
            throw possibleEffect("the log did not respond within " + timeout.toMillis() + " ms", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw possibleEffect("interrupted", e);
        }
    }

    private static PlatformException possibleEffect(String message, Exception cause) {
        return new PlatformException(PlatformException.Effect.POSSIBLE, message, cause);
    }
}
