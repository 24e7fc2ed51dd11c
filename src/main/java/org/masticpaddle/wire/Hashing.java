package org.masticpaddle.wire;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import net.openhft.hashing.LongHashFunction;

/** Hash functions that give the same result in every process. Stateless and thread-safe. */
public final class Hashing {
    private static final LongHashFunction XXH3 = LongHashFunction.xx3();

    private Hashing() {}

    /**
     * Returns a non-cryptographic hash of a text.
     *
     * @param text text to hash, as UTF-8
     * @return 64-bit XXH3 hash
     */
    public static long hash64(String text) {
        return XXH3.hashBytes(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the weight of a member for a key in rendezvous hashing; the member with the highest weight is chosen.
     *
     * @param key key to assign to a member
     * @param member identifier of the candidate
     * @return weight, to be compared as an unsigned number
     */
    public static long rendezvousWeight(String key, String member) {
        return XXH3.hashBytes((key + '\n' + member).getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the weight of a member for a key in rendezvous hashing, from hashes that are computed once.
     *
     * @param keyHash hash of the key to assign to a member
     * @param memberHash hash of the candidate's identifier
     * @return weight, to be compared as an unsigned number
     */
    public static long rendezvousWeight(long keyHash, long memberHash) {
        // Finaliser of SplitMix64, which spreads each bit of the combined hashes over the whole result.
        long mixed = keyHash ^ Long.rotateLeft(memberHash, 32);
        mixed = (mixed ^ mixed >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }

    /**
     * Returns a cryptographic, collision-resistant hash.
     *
     * @param bytes bytes to hash
     * @return SHA-256 in lower-case hexadecimal
     */
    public static String sha256(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime does not provide SHA-256", e);
        }
    }
}
