package org.masticpaddle.entry;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import org.masticpaddle.wire.Frame;

/** Buffers a draft until it is rated, and ignores all other calls. Used by one thread at a time. */
final class DraftResponder implements Responder {
    private final ByteArrayOutputStream text = new ByteArrayOutputStream();

    @Override
    public void setHeader(String name, String value) {}

    @Override
    public boolean write(byte[] bytes) {
        text.writeBytes(bytes);
        return true;
    }

    @Override
    public void complete(Frame.End end) {}

    @Override
    public void fail(CallerError error) {}

    @Override
    public boolean started() {
        return false;
    }

    @Override
    public void onCallerDisconnect(Runnable action) {}

    byte[] bytes() {
        return text.toByteArray();
    }

    String text() {
        return text.toString(StandardCharsets.UTF_8);
    }
}
