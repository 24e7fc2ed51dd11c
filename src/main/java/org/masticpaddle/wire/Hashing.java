package org.masticpaddle.wire;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import net.openhft.hashing.LongHashFunction;

/** Hash functions that every process computes alike. Thread-safe, having no state. */
public final class Hashing {
    private static final LongHashFunction FAST = LongHashFunction.xx3();

    private Hashing() {}

    /**
     * Hashes a text, not against an attacker.
     *
     * @param text the text
     * @return 64-bit hash of its UTF-8 bytes
     */
    public static long hash64(String text) {
        return FAST.hashBytes(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Weight of a member for a key in rendezvous hashing; the member with the highest weight is chosen.
     *
     * @param key the key
     * @param member the member
     * @return weight, compared as an unsigned number
     */
    public static long rendezvousWeight(String key, String member) {
        return FAST.hashBytes((key + '\n' + member).getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Hashes bytes so that nobody can find others with the same hash.
     *
     * @param bytes the bytes
     * @return lower-case hexadecimal SHA-256
     */
    public static String sha256(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing", e);
        }
    }
}
