package org.masticpaddle.entry;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.masticpaddle.document.Organisation;
import org.masticpaddle.document.PlainService;
import org.masticpaddle.wire.Rank;

/**
 * A caller's request after its check. Immutable, but for the body, which nobody changes.
 *
 * @param id identifier chosen by this entry
 * @param organisation organisation of the bearer key
 * @param rank rank
 * @param kind request kind, for example {@code chat}
 * @param arrivalNanos time of arrival by the monotonic clock
 * @param deadlineNanos latest time for the answer by the monotonic clock
 * @param quality quality asked for by the caller
 * @param session session identifier or token given by the caller
 * @param idempotencyKey idempotency key given by the caller
 * @param keyCreated time of the key's creation as given by the caller
 * @param target what is asked
 */
public record CallerRequest(
        String id,
        Organisation organisation,
        Rank rank,
        String kind,
        long arrivalNanos,
        long deadlineNanos,
        OptionalDouble quality,
        Optional<String> session,
        Optional<String> idempotencyKey,
        Optional<String> keyCreated,
        Target target) {
    /** Checks the arguments. */
    public CallerRequest {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(rank, "rank is null");
        Objects.requireNonNull(target, "target is null");
    }

    /**
     * Returns the identity under which the request is billed: organisation and key, or the request's own identifier.
     *
     * @return identity
     */
    public String billingIdentity() {
        return idempotencyKey.map(key -> organisation.name() + ":" + key).orElse(organisation.name() + "#" + id);
    }

    /**
     * Milliseconds left until the deadline.
     *
     * @param nowNanos current time by the monotonic clock
     * @return time left, negative when the deadline has passed
     */
    public long remainingMillis(long nowNanos) {
        return (deadlineNanos - nowNanos) / 1_000_000;
    }

    /** What a request asks for. */
    public sealed interface Target {
        /**
         * Tells whether the request may run more than once.
         *
         * @return {@code false} if it runs at most once
         */
        boolean idempotent();

        /**
         * Estimates the tokens that the request will use, for fair sharing before the real count is known.
         *
         * @return tokens
         */
        int estimatedTokens();
    }

    /**
     * A chat completion.
     *
     * @param model model wish: {@code auto}, a model, or {@code model/version}
     * @param body the caller's JSON
     * @param promptTokens estimated tokens of the prompt
     * @param maxTokens most tokens wanted
     * @param stream whether the answer is streamed
     * @param idempotent whether the request may run more than once
     */
    public record Chat(
            String model, ObjectNode body, int promptTokens, int maxTokens, boolean stream, boolean idempotent)
            implements Target {
        @Override
        public int estimatedTokens() {
            return promptTokens + maxTokens;
        }
    }

    /**
     * A call of a plain service.
     *
     * @param service the service
     * @param method HTTP method
     * @param path path and query below the service, with a leading slash
     * @param contentType content type of the body, empty for none
     * @param body body
     */
    public record Plain(PlainService service, String method, String path, String contentType, byte[] body)
            implements Target {
        // A call of a plain service uses no tokens; the weight lets it share a queue fairly with others of its kind.
        private static final int TOKENS_PER_CALL = 100;

        @Override
        public boolean idempotent() {
            return service.idempotent(method, path);
        }

        @Override
        public int estimatedTokens() {
            return TOKENS_PER_CALL;
        }
    }
}
