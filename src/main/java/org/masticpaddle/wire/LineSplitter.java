package org.masticpaddle.wire;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

/** Splits a byte stream into lines at {@code '\n'}. Not thread-safe; each stream needs its own instance. */
public final class LineSplitter {
    private final Consumer<byte[]> receiver;
    private final int maxLineBytes;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /**
     * Creates a splitter for one stream.
     *
     * @param maxLineBytes largest number of bytes of an incomplete line to buffer
     * @param receiver receives each complete line without its line break
     */
    public LineSplitter(int maxLineBytes, Consumer<byte[]> receiver) {
        this.maxLineBytes = maxLineBytes;
        this.receiver = receiver;
    }

    /**
     * Adds the next bytes of the stream and passes on the lines that they complete.
     *
     * @param bytes next bytes of the stream, in order
     * @throws MalformedMessageException if an incomplete line is longer than the limit
     */
    public void accept(byte[] bytes) {
        int lineStart = 0;
        for (int index = 0; index < bytes.length; index++) {
            if (bytes[index] == '\n') {
                line.write(bytes, lineStart, index - lineStart);
                lineStart = index + 1;
                final byte[] complete = line.toByteArray();
                line.reset();
                receiver.accept(complete);
            }
        }
        line.write(bytes, lineStart, bytes.length - lineStart);
        if (line.size() > maxLineBytes) {
            throw new MalformedMessageException("line longer than " + maxLineBytes + " bytes", null);
        }
    }
}
