package org.masticpaddle.routing;

import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.List;
import java.util.Objects;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import org.masticpaddle.document.VersionName;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;

/** Issues and verifies session tokens signed with HMAC-SHA256. Immutable and thread-safe. */
public final class SessionToken {
    private static final String HMAC_ALGORITHM = "HmacSHA256";
    /** Longest token that is verified, in characters. */
    private static final int MAX_TOKEN_CHARS = 4_096;
    /** Shortest signing key that is accepted, in bytes. */
    private static final int MIN_KEY_BYTES = 16;

    private final List<SecretKeySpec> keys;
    private final long lifetimeMillis;

    /**
     * Creates an issuer.
     *
     * @param keys keys of at least 16 bytes; the first one signs, the others are accepted during a key rotation
     * @param lifetimeMillis time in milliseconds after which a session's token expires, counted from its binding
     * @throws IllegalArgumentException if there is no key or a key is too short
     */
    public SessionToken(List<byte[]> keys, long lifetimeMillis) {
        if (keys.isEmpty() || keys.stream().anyMatch(key -> key.length < MIN_KEY_BYTES)) {
            throw new IllegalArgumentException("expected keys of at least " + MIN_KEY_BYTES + " bytes");
        }
        this.keys =
                keys.stream().map(key -> new SecretKeySpec(key, HMAC_ALGORITHM)).toList();
        this.lifetimeMillis = lifetimeMillis;
    }

    /**
     * Issues a token for a binding.
     *
     * @param binding binding to sign
     * @return token that consists of characters allowed in HTTP headers only
     */
    public String issue(SessionBinding binding) {
        final byte[] body = Json.encode(new Body(
                binding.organisation(),
                binding.session(),
                binding.version().model(),
                binding.version().version(),
                binding.startMillis(),
                binding.moves()));
        final Base64.Encoder encoder = Base64.getUrlEncoder().withoutPadding();
        return encoder.encodeToString(body) + "." + encoder.encodeToString(sign(keys.get(0), body));
    }

    /**
     * Verifies a token.
     *
     * @param token token sent by a caller
     * @param organisation organisation of the caller
     * @param now current time in milliseconds since 1970
     * @return the binding, or the reason for which the token is rejected
     */
    public Check check(String token, String organisation, long now) {
        Objects.requireNonNull(token, "token is null");
        final int separatorIndex = token.indexOf('.');
        if (token.length() > MAX_TOKEN_CHARS || separatorIndex < 0) {
            return new Refused(Reason.MALFORMED);
        }
        try {
            final Base64.Decoder decoder = Base64.getUrlDecoder();
            final byte[] body =
                    decoder.decode(token.substring(0, separatorIndex).getBytes(StandardCharsets.ISO_8859_1));
            final byte[] signature =
                    decoder.decode(token.substring(separatorIndex + 1).getBytes(StandardCharsets.ISO_8859_1));
            if (keys.stream().noneMatch(key -> MessageDigest.isEqual(signature, sign(key, body)))) {
                return new Refused(Reason.FORGED);
            }
            return check(Json.decode(body, Body.class), organisation, now);
        } catch (IllegalArgumentException | MalformedMessageException e) {
            return new Refused(Reason.MALFORMED);
        }
    }

    private Check check(Body body, String organisation, long now) {
        if (!organisation.equals(body.organisation)) {
            return new Refused(Reason.FOREIGN);
        }
        if (now - body.start > lifetimeMillis) {
            return new Refused(Reason.EXPIRED);
        }
        final VersionName version = new VersionName(body.model, body.version);
        return new Valid(new SessionBinding(body.organisation, body.session, version, body.start, body.moves));
    }

    private static byte[] sign(SecretKeySpec key, byte[] body) {
        try {
            final Mac mac = Mac.getInstance(HMAC_ALGORITHM);
            mac.init(key);
            return mac.doFinal(body);
        } catch (NoSuchAlgorithmException | InvalidKeyException e) {
            throw new IllegalStateException(HMAC_ALGORITHM + " is not available", e);
        }
    }

    private record Body(String organisation, String session, String model, String version, long start, int moves) {}

    /** Result of the verification of a token. */
    public sealed interface Check {}

    /**
     * The token is authentic and has not expired.
     *
     * @param binding binding in the token
     */
    public record Valid(SessionBinding binding) implements Check {}

    /**
     * The token is rejected.
     *
     * @param reason reason of the rejection
     */
    public record Refused(Reason reason) implements Check {}

    /** Reason for which a token is rejected. */
    public enum Reason {
        /** The text does not have the format of a token. */
        MALFORMED,
        /** The signature matches no known key. */
        FORGED,
        /** The token was issued to another organisation. */
        FOREIGN,
        /** The session's lifetime is over. */
        EXPIRED
    }
}
