package org.masticpaddle.entry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.billing.ChargeSettings;
import org.masticpaddle.claim.ClaimSettings;
import org.masticpaddle.platform.HttpRatingService;
import org.masticpaddle.platform.PlatformException;
import org.masticpaddle.platform.RatingService;
import org.masticpaddle.routing.SessionToken;
import org.masticpaddle.settings.ProcessSettings;
import org.masticpaddle.settings.Setting;
import org.masticpaddle.wire.HttpClient;

/** Derives the options of an entry's components from the settings of the process. Immutable and thread-safe. */
final class EntryOptions {
    private final ProcessSettings settings;

    EntryOptions(ProcessSettings settings) {
        this.settings = Objects.requireNonNull(settings, "settings is null");
    }

    ClaimSettings claimSettings() {
        final ClaimSettings defaults = ClaimSettings.standard();
        return new ClaimSettings(
                settings.number(Setting.CLAIM_PARTITIONS),
                settings.seconds(Setting.KEY_LIFETIME_SECONDS).toMillis(),
                defaults.maxKeys(),
                defaults.maxAnswerBytes(),
                defaults.maxPending(),
                defaults.batchIntervalMillis(),
                defaults.maxBatchRecords(),
                defaults.maxPageRecords(),
                defaults.longPollMillis(),
                defaults.idleReadIntervalMillis(),
                defaults.backoffMillis(),
                defaults.logTimeoutMillis(),
                defaults.confirmTimeoutMillis());
    }

    ChargeSettings chargeSettings() {
        final ChargeSettings defaults = ChargeSettings.standard();
        return new ChargeSettings(
                settings.number(Setting.CHARGE_BATCH_MS),
                defaults.maxBatchCharges(),
                defaults.maxCharges(),
                defaults.holdMillis(),
                defaults.backoffMillis(),
                defaults.appendTimeoutMillis());
    }

    SessionToken sessionToken() {
        final List<byte[]> keys = settings.list(Setting.SESSION_KEYS).stream()
                .map(key -> key.getBytes(StandardCharsets.UTF_8))
                .toList();
        return new SessionToken(keys, settings.seconds(Setting.SESSION_SECONDS).toMillis());
    }

    /** Client of the rating service; without one in the settings, every rating fails. */
    RatingService ratings(HttpClient client, Duration timeout) {
        return settings.origin(Setting.RATINGS)
                .<RatingService>map(origin -> new HttpRatingService(client, origin, timeout))
                .orElse(request -> CompletableFuture.failedFuture(
                        new PlatformException(PlatformException.Effect.NONE, "no rating service is configured", null)));
    }
}
