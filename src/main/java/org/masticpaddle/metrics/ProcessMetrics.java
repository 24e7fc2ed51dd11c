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
import org.masticpaddle.entry.CallerRequest;
import org.masticpaddle.entry.EntryCounters;
import org.masticpaddle.entry.CallerError;
import org.masticpaddle.wire.Charge;

/** Metrics of one process. Thread-safe. */
public final class ProcessMetrics implements EntryCounters {
    private static final Duration PUSH_INTERVAL = Duration.ofSeconds(10);
    private static final double NANOS_PER_SECOND = 1e9;
    private static final AttributeKey<String> ORGANISATION = AttributeKey.stringKey("organisation");
    private static final AttributeKey<String> RANK = AttributeKey.stringKey("rank");
    private static final AttributeKey<String> OUTCOME = AttributeKey.stringKey("outcome");
    private static final AttributeKey<String> RUN = AttributeKey.stringKey("run");
    private static final AttributeKey<String> VERSION = AttributeKey.stringKey("version");
    private static final List<Double> LATENCY_BOUNDS =
            List.of(0.01, 0.025, 0.05, 0.1, 0.2, 0.41, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6);

    private final ScrapeReader pageReader;
    private final Meter meter;
    private final LongCounter requests;
    private final LongCounter billed;
    private final DoubleHistogram firstByte;
    private final DoubleHistogram total;

    private ProcessMetrics(SdkMeterProvider provider, ScrapeReader pageReader) {
        this.pageReader = pageReader;
        meter = provider.get("masticpaddle");
        requests = meter.counterBuilder("masticpaddle.requests")
                .setDescription("requests that ended, by outcome")
                .build();
        billed = meter.counterBuilder("masticpaddle.billed")
                .setDescription("price of the answers in millionths of the currency unit")
                .build();
        firstByte = meter.histogramBuilder("masticpaddle.first_byte")
                .setUnit("s")
                .setExplicitBucketBoundariesAdvice(LATENCY_BOUNDS)
                .build();
        total = meter.histogramBuilder("masticpaddle.answer")
                .setUnit("s")
                .setExplicitBucketBoundariesAdvice(LATENCY_BOUNDS)
                .build();
    }

    /**
     * Creates the metrics of a process.
     *
     * @param instance identifier of the instance
     * @param role role of the process
     * @param collector origin of an OpenTelemetry collector, if metrics are pushed
     * @return the metrics
     */
    public static ProcessMetrics create(String instance, String role, Optional<URI> collector) {
        final ScrapeReader page = new ScrapeReader();
        final SdkMeterProviderBuilder builder = SdkMeterProvider.builder()
                .setResource(Resource.create(Attributes.of(
                        AttributeKey.stringKey("service.name"),
                        "masticpaddle-" + role,
                        AttributeKey.stringKey("service.instance.id"),
                        Objects.requireNonNull(instance))))
                .registerMetricReader(page);
        collector.ifPresent(
                origin -> builder.registerMetricReader(PeriodicMetricReader.builder(OtlpHttpMetricExporter.builder()
                                .setEndpoint(origin + "/v1/metrics")
                                .build())
                        .setInterval(PUSH_INTERVAL)
                        .build()));
        return new ProcessMetrics(builder.build(), page);
    }

    /**
     * Adds gauges of the process. Called once, before or after the start of the process.
     *
     * @param gauges the gauges
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
     * Renders the scrape page.
     *
     * @return all metrics in the text format of scrapers
     */
    public String renderScrapePage() {
        return ScrapePage.render(pageReader.collect());
    }

    @Override
    public void recordAnswer(CallerRequest request, Charge charge, long firstByteNanos, long totalNanos) {
        final Attributes by = attributes(request);
        requests.add(1, by.toBuilder().put(OUTCOME, "answered").put(RUN, "ran").build());
        firstByte.record(firstByteNanos / NANOS_PER_SECOND, by);
        total.record(totalNanos / NANOS_PER_SECOND, by);
        billed.add(
                charge.billedMicros(),
                by.toBuilder()
                        .put(VERSION, charge.model() + "/" + charge.version())
                        .build());
    }

    @Override
    public void recordError(CallerRequest request, CallerError refusal) {
        requests.add(
                1,
                attributes(request).toBuilder()
                        .put(OUTCOME, refusal.kind().label())
                        .put(RUN, refusal.run().label())
                        .build());
    }

    private static Attributes attributes(CallerRequest request) {
        return Attributes.of(
                ORGANISATION,
                request.organisation().name(),
                RANK,
                request.rank().label());
    }

    /** Gives the current values to the scrape page. */
    private static final class ScrapeReader implements MetricReader {
        private volatile CollectionRegistration registration = CollectionRegistration.noop();

        Collection<MetricData> collect() {
            return registration.collectAllMetrics();
        }

        @Override
        public void register(CollectionRegistration source) {
            registration = source;
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
