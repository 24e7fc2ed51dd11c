package org.masticpaddle.metrics;

import java.net.URI;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.common.AttributesBuilder;
import io.opentelemetry.api.metrics.DoubleHistogram;
import io.opentelemetry.api.metrics.LongCounter;
import io.opentelemetry.api.metrics.Meter;
import io.opentelemetry.exporter.otlp.http.metrics.OtlpHttpMetricExporter;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.metrics.InstrumentType;
import io.opentelemetry.sdk.metrics.SdkMeterProvider;
import io.opentelemetry.sdk.metrics.SdkMeterProviderBuilder;
import io.opentelemetry.sdk.metrics.data.AggregationTemporality;
import io.opentelemetry.sdk.metrics.data.MetricData;
import io.opentelemetry.sdk.metrics.export.CollectionRegistration;
import io.opentelemetry.sdk.metrics.export.MetricReader;
import io.opentelemetry.sdk.metrics.export.PeriodicMetricReader;
import io.opentelemetry.sdk.resources.Resource;
import org.masticpaddle.entry.CallerError;
import org.masticpaddle.entry.CallerRequest;
import org.masticpaddle.entry.EntryCounters;
import org.masticpaddle.wire.Charge;

/** Metrics of one process, recorded with OpenTelemetry. Thread-safe. */
public final class ProcessMetrics implements EntryCounters {
    private static final Duration PUSH_INTERVAL = Duration.ofSeconds(10);
    private static final double NANOS_PER_SECOND = 1e9;
    private static final AttributeKey<String> ORGANISATION = AttributeKey.stringKey("organisation");
    private static final AttributeKey<String> RANK = AttributeKey.stringKey("rank");
    private static final AttributeKey<String> OUTCOME = AttributeKey.stringKey("outcome");
    private static final AttributeKey<String> RUN = AttributeKey.stringKey("run");
    private static final AttributeKey<String> VERSION = AttributeKey.stringKey("version");
    private static final List<Double> LATENCY_BUCKET_BOUNDS_SECONDS =
            List.of(0.01, 0.025, 0.05, 0.1, 0.2, 0.41, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6);

    private final ScrapeReader scrapeReader;
    private final Meter meter;
    private final LongCounter requests;
    private final LongCounter billedMicros;
    private final DoubleHistogram firstByteSeconds;
    private final DoubleHistogram totalSeconds;

    private ProcessMetrics(SdkMeterProvider provider, ScrapeReader scrapeReader) {
        this.scrapeReader = scrapeReader;
        meter = provider.get("masticpaddle");
        requests = meter.counterBuilder("masticpaddle.requests")
                .setDescription("requests that ended, by outcome")
                .build();
        billedMicros = meter.counterBuilder("masticpaddle.billed")
                .setDescription("price of the answers in millionths of the currency unit")
                .build();
        firstByteSeconds = meter.histogramBuilder("masticpaddle.first_byte")
                .setUnit("s")
                .setExplicitBucketBoundariesAdvice(LATENCY_BUCKET_BOUNDS_SECONDS)
                .build();
        totalSeconds = meter.histogramBuilder("masticpaddle.answer")
                .setUnit("s")
                .setExplicitBucketBoundariesAdvice(LATENCY_BUCKET_BOUNDS_SECONDS)
                .build();
    }

    /**
     * Creates the metrics of a process.
     *
     * @param instance identifier of the instance
     * @param role role of the process, for example {@code entry}
     * @param collector origin of the OpenTelemetry collector that metrics are pushed to, absent if they are not pushed
     * @return metrics without gauges
     */
    public static ProcessMetrics create(String instance, String role, Optional<URI> collector) {
        final ScrapeReader scrapeReader = new ScrapeReader();
        final SdkMeterProviderBuilder builder = SdkMeterProvider.builder()
                .setResource(Resource.create(Attributes.of(
                        AttributeKey.stringKey("service.name"),
                        "masticpaddle-" + role,
                        AttributeKey.stringKey("service.instance.id"),
                        Objects.requireNonNull(instance))))
                .registerMetricReader(scrapeReader);
        collector.ifPresent(
                origin -> builder.registerMetricReader(PeriodicMetricReader.builder(OtlpHttpMetricExporter.builder()
                                .setEndpoint(origin + "/v1/metrics")
                                .build())
                        .setInterval(PUSH_INTERVAL)
                        .build()));
        return new ProcessMetrics(builder.build(), scrapeReader);
    }

    /**
     * Registers the gauges of the process. Must be called at most once, before or after the start of the process.
     *
     * @param gauges gauges to read at each collection
     */
    public void register(List<Gauge> gauges) {
        gauges.forEach(gauge -> meter.gaugeBuilder("masticpaddle." + gauge.name())
                .setDescription(gauge.description())
                .buildWithCallback(measurement -> gauge.readings().get().forEach(reading -> {
                    final AttributesBuilder labels = Attributes.builder();
                    reading.labels().forEach(labels::put);
                    measurement.record(reading.value(), labels.build());
                })));
    }

    /**
     * Renders the current values of all metrics for a scraper.
     *
     * @return metrics in the Prometheus text exposition format
     */
    public String renderScrapePage() {
        return ScrapePage.render(scrapeReader.collect());
    }

    @Override
    public void recordAnswer(CallerRequest request, Charge charge, long firstByteNanos, long totalNanos) {
        final Attributes attributes = attributes(request);
        requests.add(
                1,
                attributes.toBuilder().put(OUTCOME, "answered").put(RUN, "ran").build());
        firstByteSeconds.record(firstByteNanos / NANOS_PER_SECOND, attributes);
        totalSeconds.record(totalNanos / NANOS_PER_SECOND, attributes);
        billedMicros.add(
                charge.billedMicros(),
                attributes.toBuilder()
                        .put(VERSION, charge.model() + "/" + charge.version())
                        .build());
    }

    @Override
    public void recordError(CallerRequest request, CallerError error) {
        requests.add(
                1,
                attributes(request).toBuilder()
                        .put(OUTCOME, error.kind().label())
                        .put(RUN, error.run().label())
                        .build());
    }

    private static Attributes attributes(CallerRequest request) {
        return Attributes.of(
                ORGANISATION,
                request.organisation().name(),
                RANK,
                request.rank().label());
    }

    /** Collects the current values on demand, for the scrape page. */
    private static final class ScrapeReader implements MetricReader {
        private volatile CollectionRegistration registration = CollectionRegistration.noop();

        Collection<MetricData> collect() {
            return registration.collectAllMetrics();
        }

        @Override
        public void register(CollectionRegistration newRegistration) {
            registration = newRegistration;
        }

        @Override
        public CompletableResultCode forceFlush() {
            return CompletableResultCode.ofSuccess();
        }

        @Override
        public CompletableResultCode shutdown() {
            return CompletableResultCode.ofSuccess();
        }

        @Override
        public AggregationTemporality getAggregationTemporality(InstrumentType instrumentType) {
            return AggregationTemporality.CUMULATIVE;
        }
    }
}
