package org.masticpaddle.wire;

import java.util.zip.CRC32C;

/** Checksum of a whole answer, built piece by piece; the cut into pieces does not change it. Not thread-safe. */
public final class AnswerChecksum {
    private final CRC32C checksum = new CRC32C();
    private long length;

    /** Creates the checksum of an empty answer. */
    public AnswerChecksum() {}

    /**
     * Adds the next bytes.
     *
     * @param bytes the bytes
     */
    public void add(byte[] bytes) {
        checksum.update(bytes);
        length += bytes.length;
    }

    /**
     * Returns the checksum of all bytes so far.
     *
     * @return CRC-32C
     */
    public long value() {
        return checksum.getValue();
    }

    /**
     * Returns the number of bytes so far.
     *
     * @return length in bytes
     */
    public long length() {
        return length;
    }
}
