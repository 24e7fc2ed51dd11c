package org.masticpaddle.standin;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Bytes of one answer generated so far, and the writers that send them to connections. Thread-safe. */
final class AnswerBuffer {
    private final List<AnswerWriter> writers = new ArrayList<>();
    private byte[] bytes = new byte[256];
    private int length;
    private boolean ended;

    synchronized void append(byte[] addition) {
        if (length + addition.length > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(bytes.length * 2, length + addition.length));
        }
        System.arraycopy(addition, 0, bytes, length, addition.length);
        length += addition.length;
    }

    synchronized void end() {
        ended = true;
    }

    synchronized boolean ended() {
        return ended;
    }

    synchronized int length() {
        return length;
    }

    /** Copies the bytes from a position on, at most {@code limit} of them. */
    synchronized byte[] copy(int from, int limit) {
        return Arrays.copyOfRange(bytes, from, Math.min(length, from + limit));
    }

    synchronized boolean isFullyRead(int position) {
        return ended && position == length;
    }

    synchronized void attach(AnswerWriter writer) {
        writers.add(writer);
    }

    synchronized void detach(AnswerWriter writer) {
        writers.remove(writer);
    }

    /** Makes the writers send the bytes appended since their last write. */
    void notifyWriters() {
        copyOfWriters().forEach(AnswerWriter::writeMore);
    }

    /** Makes the writers close their connections once they have sent the bytes appended so far. */
    void closeWriters() {
        copyOfWriters().forEach(AnswerWriter::closeAfterCurrentLength);
    }

    private synchronized List<AnswerWriter> copyOfWriters() {
        return List.copyOf(writers);
    }
}
