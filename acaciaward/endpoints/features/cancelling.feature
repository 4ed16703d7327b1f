Feature: Cancelling a read

  Scenario: A cancel is never lost, whenever data arrives
    Given connections on which data arrives while they are read
    When each read is cancelled some iterations of the event loop after the data
    Then every read that accepted the cancellation ends cancelled
