package org.masticpaddle.routes.check;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;

/**
 * SHA-256 of an organisation's key. The key itself is not kept, so that no message can contain it. Immutable and
 * thread-safe.
 *
 * @param hexadecimal 64 lower-case hexadecimal digits
 */
public record KeyDigest(String hexadecimal) {
    private static final int SHOWN_DIGITS = 16;

    /** Checks the argument. */
    public KeyDigest {
        Objects.requireNonNull(hexadecimal, "hexadecimal is null");
    }

    /**
     * Computes the digest of a key.
     *
     * @param key key as callers send it
     * @return digest of its UTF-8 bytes
     */
    public static KeyDigest of(String key) {
        try {
            final byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return new KeyDigest(HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }

    /**
     * Returns the beginning of the digest for display.
     *
     * @return {@code sha256:} and 16 hexadecimal digits
     */
    public String label() {
        return "sha256:" + hexadecimal.substring(0, SHOWN_DIGITS);
    }
}
