Feature: A part of prompts that crashes endpoints isn't sent to them for long

  Six entries of two data centres get streams of callers, which repeat a request once.
  No two requests are alike.

  # Requests with one part crashed 14 to 19 endpoints, each under another digest (BUDGET).
  Scenario: Requests with the part stop reaching endpoints, the others are served
    Given 2 data centres of 3 entries with 8 endpoints and callers that stream 40 a second
    When a part crashes endpoints, in 4% of the requests
    Then no more than 3 such requests arrive later than the contact time after the fifth crash
    And sound requests with the same first part begin half as often as before, or more

  # The same with answers that end with their connection: a crash looks like an end.
  Scenario: It is the same where streams have neither a length nor chunks
    Given 2 data centres of 3 entries with 8 endpoints and callers that stream 40 a second
    And streams end with their connection
    When a part crashes endpoints, in 4% of the requests
    Then no more than 3 such requests arrive later than the contact time after the fifth crash
    And sound requests with the same first part begin half as often as before, or more

  # Two parts at once made first parts look guilty in a model.
  Scenario: Two parts that crash endpoints at the same time are both found
    Given 2 data centres of 3 entries with 8 endpoints and callers that stream 40 a second
    When two parts crash endpoints, in 6% of the requests
    Then no more than 3 such requests arrive later than the contact time after the fifth crash
    And sound requests with the same first part begin half as often as before, or more
