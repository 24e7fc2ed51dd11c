package org.masticpaddle.platform;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpRequestException;
import org.masticpaddle.wire.HttpResponse;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;

/**
 * Sends requests to the platform and maps transport errors, error statuses and undecodable responses to {@link
 * PlatformException}. A request that was not sent or that failed with a 4xx status had no effect; any other failure may
 * have had one. Thread-safe, having no state.
 */
final class PlatformRequests {
    private PlatformRequests() {}

    static <T> CompletableFuture<T> send(HttpClient client, HttpRequest request, String operation, Class<T> type) {
        return client.send(request).handle((response, error) -> {
            if (error != null) {
                throw toPlatformException(operation, error);
            }
            return decode(response, operation, type);
        });
    }

    private static <T> T decode(HttpResponse response, String operation, Class<T> type) {
        if (!response.successful()) {
            final boolean clientError = response.status() >= 400 && response.status() < 500;
            throw new PlatformException(
                    clientError ? PlatformException.Effect.NONE : PlatformException.Effect.POSSIBLE,
                    operation + " failed with status " + response.status(),
                    null);
        }
        try {
            return Json.decode(response.body(), type);
        } catch (MalformedMessageException e) {
            throw new PlatformException(
                    PlatformException.Effect.POSSIBLE, operation + " returned a response that cannot be decoded", e);
        }
    }

    private static PlatformException toPlatformException(String operation, Throwable error) {
        final Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        final boolean notSent = cause instanceof HttpRequestException exception
                && exception.delivery() == HttpRequestException.Delivery.NOT_SENT;
        return new PlatformException(
                notSent ? PlatformException.Effect.NONE : PlatformException.Effect.POSSIBLE,
                operation + " failed: " + cause.getMessage(),
                cause);
    }
}
