package org.masticpaddle.claim;

import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;

import org.masticpaddle.wire.Hashing;

/**
 * Idempotency key of an organisation with its creation time. Immutable and thread-safe.
 *
 * @param organisation organisation that sent the key
 * @param key the key, unique within the organisation
 * @param createdMillis time the key was created, in milliseconds since 1970
 */
public record IdempotencyKey(String organisation, String key, long createdMillis) {
    /** Largest distance of a creation time into the future. Allows for clocks of callers that run ahead. */
    public static final long MAX_AHEAD_MILLIS = 60_000;

    private static final int MAX_LENGTH = 255;

    /** Checks the arguments. */
    public IdempotencyKey {
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(key, "key is null");
    }

    /**
     * Reads the headers of a request. The time within a UUID of version 7 takes precedence over the header, so that a
     * caller cannot extend the life of such a key.
     *
     * @param organisation organisation that sent the request
     * @param key value of {@code Idempotency-Key}
     * @param created value of {@code Idempotency-Key-Created}, if there is one
     * @return the key, or the reason for a refusal; the age is not checked
     */
    public static KeyParseResult parse(String organisation, String key, Optional<String> created) {
        if (key.isEmpty() || key.length() > MAX_LENGTH || key.chars().anyMatch(Character::isISOControl)) {
            return new KeyParseResult.Rejected(KeyRejection.MALFORMED_KEY);
        }
        final Optional<UUID> uuid = AttemptIdGenerator.version7(key);
        if (uuid.isPresent()) {
            return new KeyParseResult.Accepted(new IdempotencyKey(organisation, key, AttemptIdGenerator.millis(uuid.get())));
        }
        if (created.isEmpty()) {
            return new KeyParseResult.Rejected(KeyRejection.MISSING_TIME);
        }
        try {
            final long millis = OffsetDateTime.parse(created.get()).toInstant().toEpochMilli();
            return new KeyParseResult.Accepted(new IdempotencyKey(organisation, key, millis));
        } catch (DateTimeException | ArithmeticException e) {
            return new KeyParseResult.Rejected(KeyRejection.MALFORMED_TIME);
        }
    }

    /**
     * Checks the age of the key.
     *
     * @param nowMillis current time in milliseconds since 1970
     * @param lifetimeMillis key lifetime in milliseconds
     * @return the reason for a refusal, empty if the key may be used
     */
    public Optional<KeyRejection> refusal(long nowMillis, long lifetimeMillis) {
        if (createdMillis <= nowMillis - lifetimeMillis) {
            return Optional.of(KeyRejection.TOO_OLD);
        }
        if (createdMillis > nowMillis + MAX_AHEAD_MILLIS) {
            return Optional.of(KeyRejection.TOO_FAR_AHEAD);
        }
        return Optional.empty();
    }

    /**
     * Returns the partition that holds the claims of this key. It does not depend on the creation time.
     *
     * @param partitions number of partitions
     * @return number from 0 to {@code partitions - 1}
     */
    public int partition(int partitions) {
        return (int) Math.floorMod(Hashing.of(organisation + '\n' + key), (long) partitions);
    }
}
