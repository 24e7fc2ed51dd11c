package org.masticpaddle.platform;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.masticpaddle.wire.HttpRequestException;
import org.masticpaddle.wire.HttpResponse;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;

/** Sends calls to the platform and turns errors of the transport into {@link PlatformException}. */
final class PlatformRequests {
    private PlatformRequests() {}

    static <T> CompletableFuture<T> send(HttpClient client, HttpRequest call, String operation, Class<T> type) {
        return client.send(call).handle((answer, error) -> {
            if (error != null) {
                throw translate(operation, error);
            }
            return decode(answer, operation, type);
        });
    }

    private static <T> T decode(HttpResponse answer, String operation, Class<T> type) {
        if (!answer.successful()) {
            final boolean refused = answer.status() >= 400 && answer.status() < 500;
            throw new PlatformException(
                    refused ? PlatformException.Effect.NONE : PlatformException.Effect.POSSIBLE,
                    operation + " failed with status " + answer.status(),
                    null);
        }
        try {
            return Json.decode(answer.body(), type);
        } catch (MalformedMessageException e) {
            throw new PlatformException(
                    PlatformException.Effect.POSSIBLE, operation + " brought an answer that is not understood", e);
        }
    }

    private static PlatformException translate(String operation, Throwable error) {
        final Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        final boolean notSent =
                cause instanceof HttpRequestException call && call.delivery() == HttpRequestException.Delivery.NOT_SENT;
        return new PlatformException(
                notSent ? PlatformException.Effect.NONE : PlatformException.Effect.POSSIBLE,
                operation + " failed: " + cause.getMessage(),
                cause);
    }
}
