Feature: What the numbers of a stream's events mean is learnt from the stream

  A stream comes in runs at several endpoints. A run goes on after the last event that was
  forwarded, or earlier, or it skips events.

  # Gaps in streams whose numbers don't rise by one weren't told from their usual steps.
  Scenario: A stream of even steps is forwarded without a gap, whatever is cut and skipped
    Then generated streams of even steps are forwarded in order, whole up to any gap

  Scenario: A sound stream is forwarded whole, whatever its steps
    Then generated streams of any steps without a gap are forwarded whole
