package org.masticpaddle.wire;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

/** Splits a byte stream into lines. Not thread-safe: one stream uses one instance on one thread at a time. */
public final class LineSplitter {
    private final Consumer<byte[]> receiver;
    private final int maxLineBytes;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /**
     * Creates a splitter.
     *
     * @param maxLineBytes longest line that is accepted
     * @param receiver receives each line without its line break
     */
    public LineSplitter(int maxLineBytes, Consumer<byte[]> receiver) {
        this.maxLineBytes = maxLineBytes;
        this.receiver = receiver;
    }

    /**
     * Takes the next bytes of the stream.
     *
     * @param bytes the bytes
     * @throws MalformedMessageException if a line is too long
     */
    public void accept(byte[] bytes) {
        int from = 0;
        for (int index = 0; index < bytes.length; index++) {
            if (bytes[index] == '\n') {
                line.write(bytes, from, index - from);
                from = index + 1;
                final byte[] complete = line.toByteArray();
                line.reset();
                receiver.accept(complete);
            }
        }
        line.write(bytes, from, bytes.length - from);
        if (line.size() > maxLineBytes) {
            throw new MalformedMessageException("line longer than " + maxLineBytes + " bytes", null);
        }
    }
}
