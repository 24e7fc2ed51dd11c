package org.masticpaddle.entry;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import org.masticpaddle.wire.Frame;

/** Collects a draft until it is judged. Used by one thread at a time. */
final class DraftResponder implements Responder {
    private final ByteArrayOutputStream text = new ByteArrayOutputStream();

    @Override
    public void header(String name, String value) {}

    @Override
    public boolean bytes(byte[] bytes) {
        text.writeBytes(bytes);
        return true;
    }

    @Override
    public void complete(Frame.End end) {}

    @Override
    public void fail(CallerError refusal) {}

    @Override
    public boolean begun() {
        return false;
    }

    @Override
    public void onCallerGone(Runnable action) {}

    byte[] bytes() {
        return text.toByteArray();
    }

    String text() {
        return text.toString(StandardCharsets.UTF_8);
    }
}
