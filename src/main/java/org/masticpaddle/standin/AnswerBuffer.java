package org.masticpaddle.standin;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Bytes of one answer so far, and the writers that send them. Thread-safe. */
final class AnswerBuffer {
    private final List<AnswerWriter> writers = new ArrayList<>();
    private byte[] bytes = new byte[256];
    private int length;
    private boolean ended;

    synchronized void append(byte[] more) {
        if (length + more.length > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(bytes.length * 2, length + more.length));
        }
        System.arraycopy(more, 0, bytes, length, more.length);
        length += more.length;
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

    /** Bytes from a position on, at most {@code limit}. */
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

    /** Lets the writers send what is new. */
    void notifyWriters() {
        copyOfWriters().forEach(AnswerWriter::writeMore);
    }

    /** Closes the connections of the writers once they have sent what there is. */
    void closeWriters() {
        copyOfWriters().forEach(AnswerWriter::closeAfterCurrentLength);
    }

    private synchronized List<AnswerWriter> copyOfWriters() {
        return List.copyOf(writers);
    }
}
