Feature: Scores are held against those before

  Background:
    Given a score of a deployment with days worth 0.68, 0.40 and 0.42

  Scenario: A change within the noise is none
    When it is scored anew with days worth 0.66, 0.38 and 0.40
    Then nothing got worse

  Scenario: A lower mean is a finding
    When it is scored anew with days worth 0.60, 0.36 and 0.38
    Then "mean worth 0.447, 0.500 on abc0001" got worse

  Scenario: A day that did not pass the gate is a finding, a drawn one too
    When it is scored anew with days worth 0.68, 0.40 and 0.42, a drawn one refused
    Then "fresh-1 did not pass the gate" got worse

  Scenario: Plays that are no scores are not compared
    When a day is played by itself
    Then that is no score
